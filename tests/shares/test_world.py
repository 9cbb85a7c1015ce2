"""No capacity is exceeded and lost shares come back, whatever fails."""

from types import MappingProxyType

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.shares.world import World

_ZONES = MappingProxyType({'1': 'abc', '2': 'de', '3': 'f'})
_VMS = st.sampled_from('abcdef')
_RATES = st.sampled_from((1, 1.01, 1.02))


class _Faults(RuleBasedStateMachine):
    """Any order of faults; the world checks the capacities itself."""

    def __init__(self) -> None:
        super().__init__()
        self._world = World(_ZONES)

    @rule(duration=st.sampled_from((500, 1500, 4000, 12000)))
    def run_on(self, duration: int) -> None:
        """Time passes."""
        self._world.run(duration)

    @rule(vms=st.sets(_VMS), group=st.integers(0, 1))
    def cut(self, vms: set[str], group: int) -> None:
        """Some VMs are cut off, together or connected again."""
        for vm in vms:
            self._world.group[vm] = group

    @rule(zone=st.sampled_from(('abc', 'de', 'f')), group=st.integers(0, 3))
    def cut_zone(self, zone: str, group: int) -> None:
        """A whole zone is cut off."""
        self.cut(set(zone), group)

    @rule(vm=_VMS)
    def freeze_or_thaw(self, vm: str) -> None:
        """A VM stands still, or goes on and reads old answers."""
        self._world.frozen.symmetric_difference_update(vm)

    @rule(vm=_VMS)
    def lose_answers(self, vm: str) -> None:
        """Answers to a VM get lost, or arrive again."""
        self._world.deaf.symmetric_difference_update(vm)

    @rule(vm=_VMS)
    def stop_following(self, vm: str) -> None:
        """A VM misses changes although it is supported, or catches up."""
        self._world.stale.symmetric_difference_update(vm)

    @rule(delay=st.sampled_from((0, 400, 2800)))
    def slow_answers(self, delay: int) -> None:
        """Answers take longer."""
        self._world.delay = delay

    @rule(vm=_VMS)
    def kill(self, vm: str) -> None:
        """A process dies."""
        self._world.kill(vm)

    @rule(vm=_VMS, rate=_RATES)
    def restart(self, vm: str, rate: float) -> None:
        """A process starts, perhaps in place of another one."""
        self._world.restart(vm, rate)

    @rule(vm=_VMS)
    def terminate(self, vm: str) -> None:
        """A VM is gone for good; the platform's list does not know yet."""
        self._world.terminate(vm)

    @rule()
    def refresh_list(self) -> None:
        """The platform's list catches up."""
        self._world.listed.update(self._world.gone)

    @rule(vm=_VMS)
    def leave(self, vm: str) -> None:
        """A VM leaves."""
        self._world.leave(vm)

    @rule(rate=_RATES, lose_tail=st.booleans())
    def elect(self, rate: float, lose_tail: bool) -> None:
        """Another voter leads."""
        self._world.elect(rate, lose_tail)

    @rule()
    def stop_or_start_commits(self) -> None:
        """The leader loses or finds its majority."""
        self._world.commits = not self._world.commits

    @rule(capacity=st.integers(0, 8))
    def set_capacity(self, capacity: int) -> None:
        """An operator changes limits."""
        for resource in self._world.capacity:
            self._world.capacity[resource] = capacity


FaultsTest = _Faults.TestCase
FaultsTest.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
)
