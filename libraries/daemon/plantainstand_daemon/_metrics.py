"""Names and help texts of the daemon's metrics."""

from types import MappingProxyType

HELP_TEXTS = MappingProxyType(
    {
        'requests_total': 'Replies to callers by service and outcome.',
        'request_seconds': 'Time from a request to its reply, by service.',
        'attempts_total': 'Attempts by kind (target, vm) and outcome.',
        'retries_total': 'Attempts beyond the first, by service.',
        'hedges_total': 'Second attempts of late look-ups, by service.',
        'shed_total': 'Refusals before dispatch, by service and reason.',
        'forwarded_total': 'Requests taken over from other VMs, by outcome.',
        'held_after_unknown_total': 'Slots held: work may go on.',
        'channels_replaced': 'Connections to VMs given up as silent.',
        'exchange_failures_total': 'Load exchanges without an answer.',
        'heartbeat_failures_total': 'Heartbeats without support, by reason.',
        'has_authority': '1 while this VM may use its shares.',
        'control_index': 'Log index that this VM has applied.',
        'in_flight': 'Requests in progress at this VM.',
        'record_commands_total': 'Request record commands by outcome.',
        'leader': '1 while this VM leads the log.',
        'share_changes_total': 'Share changes proposed by this leader.',
        'reclaims_total': 'Lost VMs whose shares this leader reclaimed.',
    }
)
