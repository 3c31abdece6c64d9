// Ports for messages between daemons: a channel that sends them and a handler
// that receives them.
//
//   channel.Send(address, probe);
//   auto answer = co_await channel.Call(address, call, deadline, reason);
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/ports/peer_messages.h"
#include "wigeonwalk/ports/task.h"

#include <concepts>
#include <optional>
#include <string>

namespace wigeonwalk {

// Sends messages to other daemons by "IP:port". Send never blocks and does not
// guarantee delivery. Call returns by its deadline; on failure the reason tells
// how far the call got.
template<typename T>
concept PeerChannel = requires(T& aChannel,
                               const std::string& aAddress,
                               const PeerDatagram& aDatagram,
                               const PeerCall& aCall,
                               TimePoint aDeadline,
                               FailureReason& aReason)
{
  {
    aChannel.Send(aAddress, aDatagram)
    } -> std::same_as<void>;
  {
    aChannel.Call(aAddress, aCall, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<PeerAnswer>>>;
};

// Handles messages from other daemons. If OnCall returns nullopt, the caller's
// connection is closed.
template<typename T>
concept PeerHandler = requires(T& aHandler,
                               const PeerDatagram& aDatagram,
                               const PeerCall& aCall)
{
  {
    aHandler.OnDatagram(aDatagram)
    } -> std::same_as<void>;
  {
    aHandler.OnCall(aCall)
    } -> std::same_as<Task<std::optional<PeerAnswer>>>;
};

// Starts coroutines on the daemon's I/O thread.
template<typename T>
concept TaskSpawner = requires(T& aSpawner, Task<void> aTask)
{
  {
    aSpawner.Spawn(std::move(aTask))
    } -> std::same_as<void>;
};

} // namespace wigeonwalk
