#pragma once

#include <string_view>

namespace briarhead::detail {

/// The JSON schema that the settings file is validated against at startup. The single source of each key's
/// range and of its description in error messages.
constexpr std::string_view settingsSchema = R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "briarhead settings",
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "failure_domain", "region", "kv_urls", "live_list_url", "peer_key"],
  "definitions": {
    "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "url": {"type": "string", "pattern": "^https?://[0-9A-Fa-f.:\\[\\]]+(:[0-9]+)?(/.*)?$"}
  },
  "properties": {
    "instance": {"$ref": "#/definitions/name",
      "description": "this instance's name in the live list: 1 to 64 letters, digits and \"._-\""},
    "failure_domain": {"$ref": "#/definitions/name",
      "description": "the failure domain it runs in: 1 to 64 letters, digits and \"._-\""},
    "region": {"$ref": "#/definitions/name",
      "description": "the region it serves: 1 to 64 letters, digits and \"._-\""},
    "caller_address": {"type": "string", "default": "127.0.0.1",
      "description": "an IP address on which callers and operators connect"},
    "caller_port": {"$ref": "#/definitions/port", "default": 8080,
      "description": "a port from 1 to 65535, for callers and operators"},
    "peer_address": {"type": "string", "default": "127.0.0.1",
      "description": "an IP address for UDP and TCP between daemons"},
    "peer_port": {"$ref": "#/definitions/port", "default": 8081,
      "description": "a port from 1 to 65535, for UDP and TCP between daemons; different from caller_port"},
    "kv_urls": {"type": "array", "minItems": 1, "maxItems": 16, "items": {"$ref": "#/definitions/url"},
      "description": "1 to 16 URLs of the key-value service, such as \"http://10.0.0.5:2379\", with an IP address as the host"},
    "live_list_url": {"$ref": "#/definitions/url",
      "description": "the URL of the live list, such as \"http://10.0.0.6:8500\", with an IP address as the host"},
    "peer_key": {"type": "string", "pattern": "^[0-9a-f]{64}$",
      "description": "64 hexadecimal digits in lower case, the same on every daemon; `openssl rand -hex 32` makes one"},
    "operator_key_hashes": {"type": "array", "maxItems": 64, "default": [],
      "items": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
      "description": "a list of hashes of operators' keys, as `briarheadctl hash-key` prints them"},
    "body_limit_bytes": {"type": "integer", "minimum": 1024, "maximum": 67108864, "default": 1048576,
      "description": "a whole number of bytes from 1024 to 67108864: the largest request body"},
    "log_level": {"enum": ["trace", "debug", "info", "warn", "error"], "default": "info",
      "description": "\"trace\", \"debug\", \"info\", \"warn\" or \"error\""},
    "routing": {"enum": ["briarhead", "random", "least_loaded", "rendezvous_lru"], "default": "briarhead",
      "description": "\"briarhead\", or a baseline for measurement: \"random\", \"least_loaded\", \"rendezvous_lru\""},
    "lease_ttl_ms": {"type": "integer", "minimum": 1000, "maximum": 120000, "default": 10000,
      "description": "a whole number of milliseconds from 1000 to 120000: the ownership lease in a small fleet"},
    "probe_interval_ms": {"type": "integer", "minimum": 50, "maximum": 60000, "default": 500,
      "description": "a whole number of milliseconds from 50 to 60000: the interval between probes of a peer"},
    "live_list_interval_ms": {"type": "integer", "minimum": 100, "maximum": 600000, "default": 2000,
      "description": "a whole number of milliseconds from 100 to 600000: the interval between reads of the live list"},
    "drain_timeout_ms": {"type": "integer", "minimum": 0, "maximum": 3600000, "default": 120000,
      "description": "a whole number of milliseconds from 0 to 3600000: the maximum duration of a graceful shutdown"},
    "kv_timeout_ms": {"type": "integer", "minimum": 50, "maximum": 60000, "default": 1000,
      "description": "a whole number of milliseconds from 50 to 60000: the timeout of a call to the key-value service"}
  }
})schema";

}
