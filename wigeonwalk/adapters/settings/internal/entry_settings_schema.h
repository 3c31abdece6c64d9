// JSON schema of an entry daemon's settings file.
//
//   ParseChecked(text, kEntrySettingsSchema, reasons);
#pragma once

#include <string_view>

namespace wigeonwalk::settings_internal {

// Defaults equal those of EntrySettings; a test compares them.
inline constexpr std::string_view kEntrySettingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["host", "zone", "listen", "registryAddress"],
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
    "regions": {
      "type": "object",
      "additionalProperties": { "type": "string", "format": "label" },
      "description": "Region of each availability zone; a zone that is not listed is in an unknown one."
    },
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "required": ["callers", "readiness"],
      "description": "Addresses on which this daemon listens.",
      "properties": {
        "callers": {
          "type": "string", "format": "listener",
          "description": "Listener for callers."
        },
        "readiness": {
          "type": "string", "format": "listener",
          "description": "Listener for the load balancer's readiness check."
        },
        "peers": {
          "type": "string", "format": "listener",
          "description": "Listener for other daemons, TCP and UDP on one port; absent for none."
        },
        "metrics": {
          "type": "string", "format": "listener",
          "description": "Listener for metrics; absent for none."
        }
      }
    },
    "callers": {
      "type": "object",
      "additionalProperties": false,
      "description": "Limits on what all clients together make the daemon hold.",
      "properties": {
        "connections": {
          "type": "integer", "minimum": 1, "maximum": 1000000,
          "default": 3000, "x-unit": "connections",
          "description": "Most connections that are open at once. Together with the requests in progress they are at most three quarters of the process's descriptors. Beyond it, the one that has been idle for the longest time is closed."
        },
        "adminConnections": {
          "type": "integer", "minimum": 4, "maximum": 1000000,
          "default": 32, "x-unit": "connections",
          "description": "Most connections that are open at once to each of the listeners for readiness and metrics. At most an eighth of the descriptors that are left to everything but callers. Beyond it, the one that has been idle for the longest time is closed."
        },
        "requestBytes": {
          "type": "integer", "minimum": 65536, "maximum": 68719476736,
          "default": 25165824, "x-unit": "bytes",
          "description": "Memory of requests that are being received or held. Beyond it, the largest that is still being received is refused, as not run; one request of the largest size always fits."
        },
        "cachedParts": {
          "type": "integer", "minimum": 1024, "maximum": 100000000,
          "default": 131072, "x-unit": "parts",
          "description": "Most cached parts of prompts that are remembered, each counted once for each runner or store that holds it; about 250 bytes each. Beyond it, the least recently used part at the holder with the most is forgotten."
        }
      }
    },
    "registryAddress": {
      "type": "string", "format": "address",
      "description": "Address of the key-value service that holds configuration and registrations."
    },
    "bounds": {
      "type": "object",
      "additionalProperties": false,
      "description": "Bounds that the deployment sets.",
      "properties": {
        "drain": {
          "type": "string", "format": "duration",
          "x-minimum": "0s", "x-maximum": "1h", "default": "2s",
          "description": "Longest time in which a leaving runner still gets requests."
        },
        "stopGrace": {
          "type": "string", "format": "duration",
          "x-minimum": "100ms", "x-maximum": "24h", "default": "8s",
          "description": "Time from the request to stop to the end of the process."
        },
        "zoneOrder": {
          "type": "string", "format": "duration",
          "x-minimum": "100ms", "x-maximum": "1h", "default": "5s",
          "description": "Time in which the runners of a zone that is taken out of use get no new requests any more."
        },
        "configurationPropagation": {
          "type": "string", "format": "duration",
          "x-minimum": "100ms", "x-maximum": "1h", "default": "2s",
          "description": "Time in which a new configuration is in force."
        },
        "newWeights": {
          "type": "string", "format": "duration",
          "x-minimum": "1s", "x-maximum": "24h", "default": "12s",
          "description": "Time in which newly named weights are used everywhere."
        },
        "orderLease": {
          "type": "string", "format": "duration",
          "x-minimum": "100ms", "x-maximum": "1h", "default": "3s",
          "description": "Least time between the orders of two holders."
        },
        "repeatRatio": {
          "type": "number", "minimum": 0, "maximum": 10,
          "default": 0.2, "x-unit": "repeats per request",
          "description": "Repeats that each request of a service allows, over all daemons."
        },
        "repeatSlack": {
          "type": "number", "minimum": 0, "maximum": 1000000,
          "default": 0, "x-unit": "repeats",
          "description": "Repeats that a window allows besides, over all daemons."
        },
        "repeatWindow": {
          "type": "string", "format": "duration",
          "x-minimum": "100ms", "x-maximum": "1h", "default": "10s",
          "description": "Window over which repeats are counted."
        }
      }
    },
    "readTokensPerMs": {
      "type": "number", "minimum": 0.001, "maximum": 1000000,
      "default": 38, "x-unit": "tokens per millisecond",
      "description": "Rate at which a runner reads prompts."
    },
    "logLevel": {
      "type": "string",
      "enum": ["trace", "debug", "info", "warning", "error", "critical", "off"],
      "default": "info",
      "description": "Least severe log lines that are written."
    }
  }
})json";

} // namespace wigeonwalk::settings_internal
