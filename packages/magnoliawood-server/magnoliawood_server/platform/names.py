"""Names that the platform defines: headers, paths, object kinds and values.

No code outside this package uses these names directly.
"""

# Header names, in lower case because they are compared in lower case.
REQUEST_ID = b'request-id'
DEADLINE = b'deadline-ms'
AFFINITY = b'affinity-key'
# Parts of the prompt as ID:TOKENS; the last part belongs to this request
# alone.
PROMPT_PARTS = b'prompt-prefix'
LAST_EVENT_ID = b'last-event-id'
# Id of the request that brought the first event of the resumed stream.
RESUMED = b'resumes'
# Signature that proves that a response comes from the upstream itself.
SIGNATURE = b'server-stamp'
# Callers ask for none, so a body that has one is not the upstream's.
ENCODING = b'content-encoding'
# In all responses of an upstream that is leaving.
LEAVING = b'server-leaving'
# Requests per second that an upstream takes from all gateways together.
RATE_LIMIT = b'server-limit'
EXPECTED_INCARNATION = b'expect-instance'
NOT_RUN = b'not-executed'
RETRY_AFTER = b'retry-after'
INCARNATION = b'instance-id'
# Number of prompt tokens and maximum number of generated tokens.
TOKENS = b'token-usage'
# Caller's estimate of the number of generated tokens; often far off.
LENGTH_HINT = b'length-hint'
URGENCY = b'request-urgency'
PROGRAM = b'program-id'
# Identifies a session, a sequence of turns within a program.
SESSION_ID = b'session-id'
PROGRAM_TIME_LEFT = b'program-deadline-ms'
# Total number of tokens that all turns of the program may generate.
BUDGET = b'token-budget'
# Key of a client account, after the scheme ``Bearer``.
KEY = b'authorization'
KEY_SCHEME = 'bearer'
# Name of the client account that sent a request.
ACCOUNT = b'tenant-id'
PREVIOUS_TURN = b'previous-turn'

# Headers of a request to an upstream that only the system may set.
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
# Headers that apply to a single connection and are not forwarded.
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
# An operator's requests to evacuate a host that has a disk.
KIND_EVACUATIONS = 'retirements'
# The kinds below belong to the system, not to the platform.
# Prefix of the kinds that the product's own interface uses.
KIND_PREFIX = 'magnoliawood-'
# Hosts of the product's own interface, written by operators.
KIND_HOSTS = f'{KIND_PREFIX}hosts'
KIND_GROUP = 'copy-groups'
KIND_DISKS = 'copy-disks'
KIND_QUARANTINE = 'quarantined-requests'
NAME_CONFIGURATION = 'main'
NAME_GROUP = 'main'

STATE_LEAVING = 'draining'
EVACUATION_RUNNING = 'running'
EVACUATION_DONE = 'completed'

SETTINGS_VARIABLE = 'MAGNOLIAWOOD_CONFIG'
