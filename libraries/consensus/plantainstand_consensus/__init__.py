"""Replicated log whose protocol core does no I/O."""

from plantainstand_consensus._core import ReplicaCore
from plantainstand_consensus._effects import (
    Effects,
    TruncateEntries,
    Write,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
)
from plantainstand_consensus._entries import (
    Command,
    Configuration,
    Entry,
    HardState,
    Node,
    NoOperation,
    Snapshot,
)
from plantainstand_consensus._interfaces import (
    CommittedEntry,
    EntriesItem,
    LearnerStatus,
    ReplicaOptions,
    ReplicaStatus,
    SnapshotItem,
    StateMachine,
    Transport,
)
from plantainstand_consensus._limits import LogLimits, limits_for
from plantainstand_consensus._log import Log
from plantainstand_consensus._messages import (
    Message,
    MessageProblem,
    decode_message,
    encode_message,
)
from plantainstand_consensus._opening import format_voter, open_voter
from plantainstand_consensus._problems import (
    ChangePending,
    NotLeader,
    Overloaded,
    ProposeProblem,
    Stopped,
    StorageFailed,
    TimedOut,
    TooLong,
)
from plantainstand_consensus._replica import LogReplica
from plantainstand_consensus._state import (
    QUORUM_CONTACT_TIMEOUT,
    InvariantError,
    Role,
)
from plantainstand_consensus._storage import VoterStorage
from plantainstand_consensus._subscription import Subscription

__all__ = (
    'QUORUM_CONTACT_TIMEOUT',
    'ChangePending',
    'Command',
    'CommittedEntry',
    'Configuration',
    'Effects',
    'EntriesItem',
    'Entry',
    'HardState',
    'InvariantError',
    'LearnerStatus',
    'Log',
    'LogLimits',
    'LogReplica',
    'Message',
    'MessageProblem',
    'NoOperation',
    'Node',
    'NotLeader',
    'Overloaded',
    'ProposeProblem',
    'ReplicaCore',
    'ReplicaOptions',
    'ReplicaStatus',
    'Role',
    'Snapshot',
    'SnapshotItem',
    'StateMachine',
    'Stopped',
    'StorageFailed',
    'Subscription',
    'TimedOut',
    'TooLong',
    'Transport',
    'TruncateEntries',
    'VoterStorage',
    'Write',
    'WriteEntries',
    'WriteHardState',
    'WriteSnapshot',
    'decode_message',
    'encode_message',
    'format_voter',
    'limits_for',
    'open_voter',
)
