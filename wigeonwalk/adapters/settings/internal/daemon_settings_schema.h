// JSON schema of the daemon's settings file.
//
//   ParseChecked(text, kDaemonSettingsSchema, reasons);
#pragma once

#include <string_view>

namespace wigeonwalk::settings_internal {

// Defaults equal those of DaemonSettings; a test compares them.
inline constexpr std::string_view kDaemonSettingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["host", "zone"],
  "properties": {
    "host": {
      "type": "string", "format": "name",
      "description": "Id of this host; unique among the daemons."
    },
    "zone": {
      "type": "string", "format": "label",
      "description": "Availability zone of this host."
    },
    "region": {
      "type": "string", "format": "label",
      "description": "Region of this host."
    },
    "entryAddress": {
      "type": "string", "format": "listener",
      "description": "Listener for callers; absent for none."
    },
    "operatorAddress": {
      "type": "string", "format": "listener",
      "description": "Listener for operators (JSON-RPC, metrics, health); absent for none."
    },
    "peerAddress": {
      "type": "string", "format": "listener",
      "description": "Listener for other daemons, TCP and UDP on one port; absent for none."
    },
    "peers": {
      "type": "array", "maxItems": 2000,
      "description": "Daemons known from the start; others are learnt from the host list and from gossip.",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["host", "zone", "address"],
        "properties": {
          "host": {
            "type": "string", "format": "name",
            "description": "Id of the peer's host."
          },
          "zone": {
            "type": "string", "format": "label",
            "description": "Availability zone of the peer."
          },
          "address": {
            "type": "string", "format": "address",
            "description": "Address of the peer's peer listener."
          }
        }
      }
    },
    "clusterKeyFile": {
      "type": "string", "format": "label",
      "description": "File that holds the key shared by the cluster's daemons; needed with peerAddress."
    },
    "keyValueAddresses": {
      "type": "array", "maxItems": 16,
      "description": "Addresses of the platform's key-value service.",
      "items": { "type": "string", "format": "address" }
    },
    "hostListAddress": {
      "type": "string", "format": "address",
      "description": "Address of the platform's host list; absent for none."
    },
    "weightStoreAddress": {
      "type": "string", "format": "address",
      "description": "Address of the platform's weight store; absent for none."
    },
    "documentFiles": {
      "type": "array", "maxItems": 100,
      "description": "Service documents read at the start, for runs without a key-value service.",
      "items": { "type": "string", "format": "label" }
    },
    "callerLimits": {
      "type": "object",
      "additionalProperties": false,
      "description": "Limits on what a caller may send.",
      "properties": {
        "headerBytes": {
          "type": "integer", "minimum": 1024, "maximum": 1048576,
          "default": 16384, "x-unit": "bytes",
          "description": "Largest request header."
        },
        "bodyBytes": {
          "type": "integer", "minimum": 1024, "maximum": 268435456,
          "default": 4194304, "x-unit": "bytes",
          "description": "Largest request body."
        },
        "readTimeout": {
          "type": "string", "format": "duration",
          "x-minimum": "100ms", "x-maximum": "10m", "default": "10s",
          "description": "Longest time from the first byte of a request to its last."
        },
        "connections": {
          "type": "integer", "minimum": 1, "maximum": 1000000,
          "default": 20000, "x-unit": "connections",
          "description": "Most caller connections open at once, and at most three quarters of the process's descriptors. Beyond it, the one that has been idle for the longest time is closed."
        },
        "requestBytes": {
          "type": "integer", "minimum": 65536, "maximum": 68719476736,
          "default": 25165824, "x-unit": "bytes",
          "description": "Memory of requests that are being received or held. Beyond it, the largest that is still being received is refused, as not run; one request of the largest size always fits."
        }
      }
    },
    "stop": {
      "type": "object",
      "additionalProperties": false,
      "description": "How a planned stop proceeds.",
      "properties": {
        "balancerDelay": {
          "type": "string", "format": "duration",
          "x-minimum": "0s", "x-maximum": "5m", "default": "5s",
          "description": "Time that the load balancer needs to notice a failing health check."
        },
        "drainTimeout": {
          "type": "string", "format": "duration",
          "x-minimum": "0s", "x-maximum": "24h", "default": "10m",
          "description": "Longest time for open streams to end; the operator may cut it short."
        }
      }
    },
    "workerThreads": {
      "type": "integer", "minimum": 0, "maximum": 256,
      "default": 0, "x-unit": "threads",
      "description": "Worker threads for CPU work; 0 means one for each core."
    },
    "logLevel": {
      "type": "string",
      "enum": ["trace", "debug", "info", "warning", "error", "critical", "off"],
      "default": "info",
      "description": "Least severe log lines that are written."
    },
    "timelineEvents": {
      "type": "integer", "minimum": 16, "maximum": 1048576,
      "default": 16384, "x-unit": "events",
      "description": "Events that the timeline's ring keeps."
    }
  }
})json";

} // namespace wigeonwalk::settings_internal
