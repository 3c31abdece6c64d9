#include "wigeonwalk/adapters/settings/daemon_settings_json.h"

#include "wigeonwalk/adapters/settings/internal/daemon_settings_schema.h"
#include "wigeonwalk/adapters/settings/internal/json_fields.h"

#include <set>
#include <string>

namespace wigeonwalk {

template<FieldsOf<CallerLimits> S>
void
VisitFields(auto&& aField, S& aLimits)
{
  aField("headerBytes", aLimits.headerBytes);
  aField("bodyBytes", aLimits.bodyBytes);
  aField("readTimeout", aLimits.readTimeout);
  aField("connections", aLimits.connections);
  aField("requestBytes", aLimits.requestBytes);
}

template<FieldsOf<PeerSettings> S>
void
VisitFields(auto&& aField, S& aPeer)
{
  aField("host", aPeer.host);
  aField("zone", aPeer.zone);
  aField("address", aPeer.address);
}

template<FieldsOf<StopSettings> S>
void
VisitFields(auto&& aField, S& aStop)
{
  aField("balancerDelay", aStop.balancerDelay);
  aField("drainTimeout", aStop.drainTimeout);
}

template<FieldsOf<DaemonSettings> S>
void
VisitFields(auto&& aField, S& aSettings)
{
  aField("host", aSettings.host);
  aField("zone", aSettings.zone);
  aField("region", aSettings.region);
  aField("entryAddress", aSettings.entryAddress);
  aField("operatorAddress", aSettings.operatorAddress);
  aField("peerAddress", aSettings.peerAddress);
  aField("peers", aSettings.peers);
  aField("clusterKeyFile", aSettings.clusterKeyFile);
  aField("keyValueAddresses", aSettings.keyValueAddresses);
  aField("hostListAddress", aSettings.hostListAddress);
  aField("weightStoreAddress", aSettings.weightStoreAddress);
  aField("documentFiles", aSettings.documentFiles);
  aField("callerLimits", aSettings.callerLimits);
  aField("stop", aSettings.stop);
  aField("workerThreads", aSettings.workerThreads);
  aField("logLevel", aSettings.logLevel);
  aField("timelineEvents", aSettings.timelineEvents);
}

namespace {

using namespace settings_internal;

void
CheckPeers(const DaemonSettings& aSettings,
           std::vector<FailureReason>& aReasons)
{
  std::set<std::string> hosts{ aSettings.host.Text() };
  std::set<std::string> addresses;
  for (std::size_t i = 0; i < aSettings.peers.size(); ++i) {
    const auto& peer = aSettings.peers[i];
    const std::string place = "/peers/" + std::to_string(i);
    if (!hosts.insert(peer.host.Text()).second) {
      AddReason(aReasons,
                ReasonCode::AlreadyExists,
                "host '" + peer.host.Text() +
                  "' is this daemon or an earlier peer",
                place + "/host");
    }
    if (!addresses.insert(peer.address).second) {
      AddReason(aReasons,
                ReasonCode::AlreadyExists,
                peer.address + " is the address of an earlier peer",
                place + "/address");
    }
  }
  if (!aSettings.peers.empty() && aSettings.peerAddress.empty()) {
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              "peers need a listener of this daemon: set peerAddress",
              "/peerAddress");
  }
  if (!aSettings.peerAddress.empty() && aSettings.clusterKeyFile.empty()) {
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              "messages between daemons are authenticated: set clusterKeyFile",
              "/clusterKeyFile");
  }
}

void
CheckListeners(const DaemonSettings& aSettings,
               std::vector<FailureReason>& aReasons)
{
  struct Listener
  {
    std::string place;
    std::string address;
  };
  const std::vector<Listener> listeners{
    { "/entryAddress", aSettings.entryAddress },
    { "/operatorAddress", aSettings.operatorAddress },
    { "/peerAddress", aSettings.peerAddress },
  };
  std::set<std::string> seen;
  for (const auto& listener : listeners) {
    // With port 0, the system gives each listener a different port.
    if (listener.address.empty() || listener.address.ends_with(":0")) {
      continue;
    }
    if (!seen.insert(listener.address).second) {
      AddReason(aReasons,
                ReasonCode::AlreadyExists,
                listener.address + " is already used by another listener",
                listener.place);
    }
  }
}

} // namespace

std::optional<DaemonSettings>
ParseDaemonSettings(std::string_view aText,
                    std::vector<FailureReason>& aReasons)
{
  const std::size_t before = aReasons.size();
  const auto json = ParseChecked(aText, kDaemonSettingsSchema, aReasons);
  if (!json) {
    return std::nullopt;
  }
  auto settings = ReadStruct<DaemonSettings>(*json);
  CheckPeers(settings, aReasons);
  CheckListeners(settings, aReasons);
  if (aReasons.size() != before) {
    LimitReasons(aReasons);
    return std::nullopt;
  }
  return settings;
}

} // namespace wigeonwalk
