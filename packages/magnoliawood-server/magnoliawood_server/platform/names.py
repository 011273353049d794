"""Names of the platform's headers, paths, kinds and words.

These are the platform's own; nothing outside this package knows them.
"""

# Headers, in the lower case in which they are compared.
REQUEST_ID = b'request-id'
DEADLINE = b'deadline-ms'
AFFINITY = b'affinity-key'
# Parts of the prompt as ID:TOKENS, the last one is the request's own.
PROMPT_PARTS = b'prompt-prefix'
LAST_EVENT_ID = b'last-event-id'
# Proof that a response is the upstream's own.
SIGNATURE = b'server-stamp'
EXPECTED_INCARNATION = b'expect-instance'
NOT_RUN = b'not-executed'
RETRY_AFTER = b'retry-after'
INCARNATION = b'instance-id'
# Tokens of the prompt and the most that may be generated.
TOKENS = b'token-usage'
URGENCY = b'request-urgency'
PROGRAM = b'program-id'
# One value for each line of turns within a program.
SESSION_ID = b'session-id'
PROGRAM_TIME_LEFT = b'program-deadline-ms'
# Tokens that all turns of the program may generate together.
BUDGET = b'token-budget'
PREVIOUS_TURN = b'previous-turn'

# Only the system may set these towards an upstream.
SYSTEM_ONLY = frozenset(
    {
        EXPECTED_INCARNATION,
        URGENCY,
        b'expect-version',
        b'hold',
        b'pin-ms',
        b'kv-backup',
        b'kv-from',
        b'kv-fetch',
    }
)
# These concern one connection only.
HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    }
)

READINESS_PATH = '/readyz'

KIND_CONFIGURATION = 'config'
KIND_UPSTREAMS = 'servers'
# Requests of the operator to empty a host that has a disk.
KIND_EVACUATIONS = 'retirements'
# The system's own kinds.
# Kinds of the product's own interface start with this.
KIND_PREFIX = 'magnoliawood-'
# Hosts of the product's own interface, written by operators.
KIND_HOSTS = f'{KIND_PREFIX}hosts'
KIND_GROUP = 'copy-groups'
KIND_DISKS = 'copy-disks'
NAME_CONFIGURATION = 'main'
NAME_GROUP = 'main'

STATE_LEAVING = 'draining'
EVACUATION_RUNNING = 'running'
EVACUATION_DONE = 'completed'

SETTINGS_VARIABLE = 'MAGNOLIAWOOD_CONFIG'
