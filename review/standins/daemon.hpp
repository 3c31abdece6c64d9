// Starts the project's program as the platform does: with the settings that the
// template of the deploy file gives, one process for each machine.
//
//   Daemon daemon(record, "front-1", "concepcion", 11, store.Address(),
//   folder); daemon.Start(); daemon.Signal(SIGTERM);
#pragma once

#include "http.hpp"
#include "record.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>

namespace review {

inline constexpr const char* kTemplate = "deploy/entry-settings.json.template";
inline constexpr const char* kProgram = "target/daemons/wigeonwalk-entry";

// Returns a free port of a loopback address.
inline std::uint16_t
FreePort(const std::string& aIp)
{
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::make_address(aIp), 0));
  return acceptor.local_endpoint().port();
}

inline void
ReplaceAll(std::string& aText, const std::string& aOld, const std::string& aNew)
{
  std::size_t at = 0;
  while ((at = aText.find(aOld, at)) != std::string::npos) {
    aText.replace(at, aOld.size(), aNew);
    at += aNew.size();
  }
}

class Daemon
{
public:
  Daemon(Record& aRecord,
         std::string aName,
         std::string aZone,
         int aLastByte,
         std::string aStore,
         std::string aFolder)
    : record(aRecord)
    , name(std::move(aName))
    , zone(std::move(aZone))
    , ip("127.0.0." + std::to_string(aLastByte))
    , storeAddress(std::move(aStore))
    , folder(std::move(aFolder))
    , front(this->ip + ":" + std::to_string(FreePort(this->ip)))
    , ready(this->ip + ":" + std::to_string(FreePort(this->ip)))
    , peerPort(FreePort(this->ip))
    , metricsPort(FreePort(this->ip))
  {
  }

  // Returns false if the settings can't be written or the process not started.
  bool Start()
  {
    const std::string settings = this->folder + "/" + this->name + ".json";
    if (!this->WriteSettings(settings)) {
      return false;
    }
    const std::string log = this->folder + "/" + this->name + ".log";
    this->pid = ::fork();
    if (this->pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(file, STDOUT_FILENO);
      ::dup2(file, STDERR_FILENO);
      ::execl(kProgram,
              kProgram,
              "--settings",
              settings.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    this->record.Line("platform", "started " + this->name);
    return this->pid > 0;
  }

  void Signal(int aSignal)
  {
    if (this->pid > 0) {
      this->record.Line(
        "platform", "signal " + std::to_string(aSignal) + " to " + this->name);
      ::kill(this->pid, aSignal);
    }
  }

  // Returns true once the process has ended.
  bool HasEnded()
  {
    if (this->pid <= 0) {
      return true;
    }
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->record.Line("platform", this->name + " has ended");
      this->pid = 0;
    }
    return this->pid == 0;
  }

  void Kill()
  {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
      this->pid = 0;
    }
  }

  bool IsReady() const
  {
    HttpClient client(this->ready);
    client.SetTimeout(500);
    if (!client.Send("GET", "/readiness", { { "Host", "ready" } })) {
      return false;
    }
    const auto answer = client.Read();
    return answer && answer->result_int() == 200;
  }

  const std::string& Name() const { return this->name; }
  const std::string& Front() const { return this->front; }
  pid_t Pid() const { return this->pid; }

private:
  bool WriteSettings(const std::string& aPath) const
  {
    std::ifstream file(kTemplate);
    std::stringstream stream;
    stream << file.rdbuf();
    std::string text = stream.str();
    const auto quote = [](const std::string& aText) {
      return '"' + aText + '"';
    };
    const std::pair<std::string, std::string> fields[] = {
      { "{{node_name|json}}", quote(this->name) },
      { "{{zone|json}}", quote(this->zone) },
      { "{{region|json}}", quote("biobio") },
      { "{{listen.front|json}}", quote(this->front) },
      { "{{listen.ready|json}}", quote(this->ready) },
      { "{{ip}}", this->ip },
      { "{{internal_port_range.0}}", std::to_string(this->peerPort) },
      { "{{internal_port_range.1}}", std::to_string(this->metricsPort) },
      { "{{platform.address|json}}", quote(this->storeAddress) },
      { "{{bounds.drain_ms}}", "2000" },
      { "{{bounds.grace_s}}", "8" },
      { "{{bounds.config_propagation_ms}}", "2000" },
      { "{{bounds.version_ms}}", "12000" },
      { "{{bounds.lease_ms}}", "3000" },
      { "{{bounds.retry_budget_ratio|json}}", "0.2" },
      { "{{bounds.retry_budget_slack|json}}", "54" },
      { "{{bounds.budget_window_s}}", "10" },
    };
    for (const auto& [placeholder, value] : fields) {
      ReplaceAll(text, placeholder, value);
    }
    if (text.empty() || text.find("{{") != std::string::npos) {
      return false;
    }
    std::ofstream(aPath) << text;
    return true;
  }

  Record& record;
  std::string name;
  std::string zone;
  std::string ip;
  std::string storeAddress;
  std::string folder;
  std::string front;
  std::string ready;
  std::uint16_t peerPort;
  std::uint16_t metricsPort;
  pid_t pid = 0;
};

} // namespace review
