#include "wigeonwalk/load/load_run.h"

#include "wigeonwalk/cache/piece_key.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace wigeonwalk {

namespace {

// Returns a text of a number of tokens. It differs between conversations, so
// that they share no cached prefix.
std::string
TextOf(std::uint64_t aSeed, std::uint64_t aConversation, std::size_t aTokens)
{
  std::mt19937_64 random(aSeed * 1'000'003 + aConversation);
  std::string text;
  text.reserve(aTokens * kBytesPerToken);
  while (text.size() < aTokens * kBytesPerToken) {
    text += static_cast<char>('a' + random() % 26);
  }
  return text;
}

} // namespace

LoadRun::LoadRun(LoadPlan aPlan,
                 SystemTimer& aTimer,
                 boost::asio::any_io_executor aExecutor)
  : plan(std::move(aPlan))
  , timer(aTimer)
  , executor(std::move(aExecutor))
{
}

Task<void>
LoadRun::Run()
{
  std::mt19937_64 random(this->plan.seed);
  std::exponential_distribution<double> interarrivalTime(
    1 / ToSeconds(this->plan.interval));
  TimePoint start = this->timer.Now();
  for (std::uint64_t i = 0; i < this->plan.prompts; ++i) {
    start += FromSeconds(interarrivalTime(random));
    ++this->openTasks;
    boost::asio::co_spawn(
      this->executor, this->RunConversation(i, start), boost::asio::detached);
  }
  start = this->timer.Now();
  for (std::uint64_t i = 0; i < this->plan.bookings; ++i) {
    start += FromSeconds(interarrivalTime(random));
    ++this->openTasks;
    boost::asio::co_spawn(
      this->executor, this->RunBooking(i, start), boost::asio::detached);
  }
  while (this->openTasks > 0) {
    co_await this->allTasksEnded.Wait();
  }
  if (!this->plan.bookingAddress.empty()) {
    co_await this->CheckBookings();
  }
}

Task<void>
LoadRun::CheckBookings()
{
  HttpPool pool(this->timer, this->executor, std::chrono::seconds(5));
  HttpRequest request;
  request.method = "GET";
  request.target = "/standin/runs";
  FailureReason reason;
  const TimePoint deadline = this->timer.Now() + std::chrono::seconds(10);
  const auto response = co_await pool.Exchange(
    this->plan.bookingAddress, request, Reuse::FreshOnly, deadline, reason);
  if (!response) {
    this->violations.push_back("the service's runs could not be read: " +
                               reason.ToString());
    co_return;
  }
  const auto runs = nlohmann::json::parse(response->body);
  this->violations = this->report.CheckBookings(
    runs.get<std::map<std::string, std::uint64_t>>());
}

Task<void>
LoadRun::RunConversation(std::uint64_t aNumber, TimePoint aStart)
{
  Caller caller(
    this->timer, this->executor, this->plan.entries, this->plan.key, aNumber);
  const std::string fullPrompt =
    TextOf(this->plan.seed,
           aNumber,
           this->plan.promptTokens +
             std::size_t{ this->plan.returns } * this->plan.addedTokens);
  for (std::uint32_t visit = 0; visit <= this->plan.returns; ++visit) {
    const TimePoint at = aStart + this->plan.gap * visit;
    co_await this->timer.WaitUntil(at);
    CompletionCall call;
    call.service = this->plan.service;
    call.version = this->plan.version;
    call.maxTokens = this->plan.maxTokens;
    call.seed = static_cast<std::int64_t>(aNumber);
    const std::size_t tokens =
      this->plan.promptTokens + std::size_t{ visit } * this->plan.addedTokens;
    call.prompt = fullPrompt.substr(0, tokens * kBytesPerToken);
    const CallResult result = co_await caller.Complete(std::move(call));
    this->report.Add(visit == 0 ? LoadPhase::FirstVisit : LoadPhase::Return,
                     result);
  }
  this->OnTaskEnd();
}

Task<void>
LoadRun::RunBooking(std::uint64_t aNumber, TimePoint aStart)
{
  Caller caller(
    this->timer, this->executor, this->plan.entries, this->plan.key, aNumber);
  co_await this->timer.WaitUntil(aStart);
  BookingCall call;
  call.service = this->plan.bookingService;
  call.path = "/reservations";
  call.body = "{\"item\":" + std::to_string(aNumber) + "}";
  call.key = "booking-" + std::to_string(this->plan.seed) + '-' +
             std::to_string(aNumber);
  call.keyCreatedAt =
    std::chrono::floor<std::chrono::seconds>(this->timer.Now())
      .time_since_epoch()
      .count();
  const std::string key = call.key;
  const CallResult result = co_await caller.Book(std::move(call));
  this->report.Add(LoadPhase::Booking, result);
  this->report.AddBooking(key, result.verdict);
  this->OnTaskEnd();
}

void
LoadRun::OnTaskEnd()
{
  --this->openTasks;
  if (this->openTasks == 0) {
    this->allTasksEnded.Notify();
  }
}

} // namespace wigeonwalk
