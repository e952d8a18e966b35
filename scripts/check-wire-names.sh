#!/usr/bin/env bash
# Only platform/ knows how the users' platform spells its fields, headers, keys and calls. Fails and prints the line
# where one of its names stands in other code; tests are left out, since their stand-ins speak as the platform does.
set -euo pipefail
cd "$(dirname "$0")/.."
names=(
  'X-Briarhead-(Credential|Tenant|Request-Id|Deadline-Ms|Model|Token-Count|Prompt-Prefix|Expect|Server-Stamp|Not-Executed|Instance-Id|Hold|Pin-Ms|Kv-Backup)' 'Kv-From' 'Kv-Fetch' '"Resumes"' 'Server-Limit' 'Server-Leaving' 'BRIARHEAD_NODE_FILE'
  'expectedRev' 'fenceToken' 'opcode' 'kv-key' 'kv-range' 'kv-watch' 'kv-txn' 'kv-lease' 'kv-keep'
  'currentRev' 'createdRev' 'allowStale' 'routeType' 'targetLatencyMs' 'targetGapMs' 'maxAttempts"' 'trafficSplit'
  'coldRemainingMs' 'adapterSlots' 'adapterMb"' 'weightsMb"' 'kvTokens' 'apiKeys' '"tenants"' 'ratePerS' 'plainTokens"' 'allowAnonymous' 'strictRevoke' 'quotaWindowS' 'loadsPerS"' 'headerTimeoutMs' 'idleTimeoutMs'
  'op/config' 'op/version' '"servers/' '/v1/order' 'internalPorts' 'graceS' 'drainMs"' 'budgetSlack'
)
pattern=$(printf '%s|' "${names[@]}")
if git grep -nE "${pattern%|}" -- 'packages/*.cpp' 'packages/*.h'; then
  echo "wire names: the lines above name what only platform/ may know; translate it there" >&2
  exit 1
fi
echo "wire names: only in platform/"
