// JSON schema of the service document.
//
//   ParseChecked(text, kServiceDocumentSchema, reasons);
#pragma once

#include <string_view>

namespace wigeonwalk::settings_internal {

// Defaults equal those of ServiceDocument; a test compares them. Upper limits
// of counts are at least ten times the target size on the design page; byte
// sizes stay below 2^53, so that every JSON library reads them exactly.
inline constexpr std::string_view kServiceDocumentSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "kind", "zones", "runners", "organisations"],
  "properties": {
    "name": {
      "type": "string", "format": "name",
      "description": "Name of the service, as in its URL."
    },
    "kind": {
      "type": "string", "enum": ["engine", "plain"],
      "description": "What stands behind the service: model engines or a plain service."
    },
    "weighs": {
      "type": "string", "enum": ["time-to-first-token", "share-recomputed"],
      "default": "time-to-first-token",
      "description": "What placement weighs most."
    },
    "zones": {
      "type": "array", "minItems": 1, "maxItems": 100,
      "description": "Availability zones of the service; runners and stores name only these.",
      "items": { "type": "string", "format": "label" }
    },
    "model": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "version", "cacheBytesPerToken", "prefillTokensPerSecond"],
      "description": "Model that the runners should run; needed for engines, absent for plain services.",
      "properties": {
        "name": {
          "type": "string", "format": "label",
          "description": "Name of the model."
        },
        "version": {
          "type": "string", "format": "name",
          "description": "Version of the weights."
        },
        "adapters": {
          "type": "array", "maxItems": 256,
          "description": "Adapters that the runners should load.",
          "items": { "type": "string", "format": "name" }
        },
        "cacheBytesPerToken": {
          "type": "integer", "minimum": 1, "maximum": 1073741824,
          "x-unit": "bytes/token",
          "description": "Size of the KV cache of one token."
        },
        "prefillTokensPerSecond": {
          "type": "number", "minimum": 1, "maximum": 100000000,
          "x-unit": "tokens/s",
          "description": "Prompt tokens that one runner prefills in a second."
        }
      }
    },
    "runners": {
      "type": "array", "minItems": 1, "maxItems": 10000,
      "description": "Upstreams that run requests.",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "zone", "address"],
        "properties": {
          "id": {
            "type": "string", "format": "name",
            "description": "Id of the runner; unique in the document."
          },
          "zone": {
            "type": "string", "format": "label",
            "description": "Availability zone of the runner."
          },
          "address": {
            "type": "string", "format": "address",
            "description": "Address of the runner."
          },
          "accelerators": {
            "type": "integer", "minimum": 0, "maximum": 1024,
            "default": 1, "x-unit": "accelerators",
            "description": "Accelerators of the runner."
          },
          "checksFencingNumbers": {
            "type": "boolean", "default": false,
            "description": "Whether the runner refuses an order with an old fencing number."
          }
        }
      }
    },
    "stores": {
      "type": "array", "maxItems": 1000,
      "description": "Store hosts of the service's cache store; only for engines.",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "zone", "address", "memoryBytes", "diskBytes", "memoryLinkRate", "diskLinkRate"],
        "properties": {
          "id": {
            "type": "string", "format": "name",
            "description": "Id of the store host; unique in the document."
          },
          "zone": {
            "type": "string", "format": "label",
            "description": "Availability zone of the store host."
          },
          "address": {
            "type": "string", "format": "address",
            "description": "Address of the store host."
          },
          "memoryBytes": {
            "type": "integer", "minimum": 0, "maximum": 1000000000000000,
            "x-unit": "bytes",
            "description": "Memory for retained cache."
          },
          "diskBytes": {
            "type": "integer", "minimum": 0, "maximum": 1000000000000000,
            "x-unit": "bytes",
            "description": "Disk for retained cache."
          },
          "memoryLinkRate": {
            "type": "integer", "minimum": 1000, "maximum": 10000000000000,
            "x-unit": "bytes/s",
            "description": "Capacity of the link to the memory tier."
          },
          "diskLinkRate": {
            "type": "integer", "minimum": 1000, "maximum": 10000000000000,
            "x-unit": "bytes/s",
            "description": "Capacity of the link to the disk tier."
          }
        }
      }
    },
    "organisations": {
      "type": "array", "minItems": 1, "maxItems": 10000,
      "description": "Organisations that may use the service.",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "keyDigests"],
        "properties": {
          "id": {
            "type": "string", "format": "name",
            "description": "Id of the organisation; unique in the document."
          },
          "keyDigests": {
            "type": "array", "minItems": 1, "maxItems": 100,
            "description": "SHA-256 digests of the organisation's API keys.",
            "items": { "type": "string", "format": "digest" }
          },
          "weight": {
            "type": "number", "minimum": 0.001, "maximum": 1000,
            "default": 1,
            "description": "Share of the service under contention, relative to the other weights."
          },
          "requestClass": {
            "type": "string", "enum": ["interactive", "standard", "background"],
            "default": "standard",
            "description": "Priority of the organisation's requests."
          },
          "limits": {
            "type": "object",
            "additionalProperties": false,
            "description": "Limits over all daemons; an absent limit means none.",
            "properties": {
              "concurrentRequests": {
                "type": "integer", "minimum": 1, "maximum": 1000000,
                "x-unit": "requests",
                "description": "Most requests in progress at once."
              },
              "requestsPerSecond": {
                "type": "number", "minimum": 0.001, "maximum": 1000000,
                "x-unit": "requests/s",
                "description": "Most requests accepted in a second."
              },
              "tokensPerSecond": {
                "type": "number", "minimum": 0.001, "maximum": 1000000000,
                "x-unit": "tokens/s",
                "description": "Most tokens, read and generated, in a second."
              }
            }
          }
        }
      }
    },
    "routes": {
      "type": "array", "maxItems": 1000,
      "description": "Calls of the service; needed for plain services. A call that no route names is idempotent for engines and refused for plain services.",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["method", "path"],
        "properties": {
          "method": {
            "type": "string",
            "enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
            "description": "HTTP method."
          },
          "path": {
            "type": "string", "format": "path",
            "description": "Path prefix under the service."
          },
          "idempotent": {
            "type": "boolean", "default": true,
            "description": "Whether running the call twice is harmless."
          },
          "keySource": {
            "type": "string", "enum": ["header", "body-field"],
            "default": "header",
            "description": "Where a non-idempotent call's key comes from."
          },
          "keyName": {
            "type": "string", "format": "label",
            "description": "Header name, or JSON pointer into the body; needed for a non-idempotent call."
          }
        }
      }
    },
    "requestTimeout": {
      "type": "string", "format": "duration",
      "x-minimum": "100ms", "x-maximum": "24h", "default": "2m",
      "description": "Longest time that a request may take."
    },
    "tokenTimeout": {
      "type": "string", "format": "duration",
      "x-minimum": "10ms", "x-maximum": "10m", "default": "2s",
      "description": "Longest expected time to the next token before a stream is probed."
    },
    "minimumServing": {
      "type": "integer", "minimum": 0, "maximum": 10000,
      "default": 1, "x-unit": "runners",
      "description": "Runners that must serve while others load; at most the number of runners."
    }
  }
})json";

} // namespace wigeonwalk::settings_internal
