"""Sums over all VMs of one account, and what one VM has of it."""

import math
from collections import deque
from typing import Final

from plantainstand_fleet import Allotment

from plantainstand_allotments._terms import (
    NEAR_DEMAND_PART,
    AccountLimit,
    AllotmentTerms,
    window_total,
)

_MARGIN_NUMERATOR: Final = 3
_MARGIN_DENOMINATOR: Final = 10
"""A VM gets three tenths more than it needs, and one run more."""

_MARGIN_PART: Final = 8
"""A margin takes at most one part in so many of what is free, so that requests
at VMs without a margin find something. Taking a margin back lasts up to two
questions, which is longer than a request waits."""

_SPARE_NUMERATOR: Final = 3
_SPARE_DENOMINATOR: Final = 4
"""Three quarters of what nobody wants are given to the VMs that use an account.
The rest is for VMs that use it next."""

_SCARCE_PART: Final = 8
"""No margins are given from the last part in so many of the total. Runs that
leave a window are free only after the next question, so that an account near
its limit needs some room."""

_RESERVE: Final = 4
"""Runs that only VMs below their share get, when VMs want more than there is.
The others use what is free beyond it, since a share below one run would be
unused most of the time."""

_GOLDEN_FRACTION = 0.6180339887498949
_PENDING_LIMIT: Final = 8


class Holding:
    """What one VM may have of one account."""

    __slots__ = (
        '_pending',
        'demand',
        'given',
        'renewable',
        'reserved',
        'waiting',
    )

    def __init__(self) -> None:
        """Start with nothing."""
        self.reserved = 0
        """Upper bound on the VM's runs in any window until it reports again."""

        self.renewable = 0
        """Part of it that was reserved before the newest report too."""

        self.demand = 0
        self.waiting = 0
        """Requests that wait for the next answer."""
        self.given: Allotment | None = None
        """Allotment of the newest answer."""

        self._pending: deque[tuple[int, int]] = deque()
        # Numbers and amounts of answers that the VM may still apply, with
        # falling amounts: a smaller amount of an earlier answer is covered by
        # a later one.

    def outstanding(self, applied: int) -> int:
        """Return the largest amount that the VM may still apply.

        ``applied`` is the newest answer that it has applied; it ignores all
        before.
        """
        pending = self._pending
        while pending and pending[0][0] <= applied:
            pending.popleft()
        return pending[0][1] if pending else 0

    def give(self, number: int, allotment: Allotment) -> None:
        """Record the answer to a question."""
        self.given = allotment
        amount = allotment.amount
        pending = self._pending
        while pending and pending[-1][1] <= amount:
            pending.pop()
        if len(pending) == _PENDING_LIMIT:
            # Keeps the larger amount for longer, which is safe.
            amount = pending.pop()[1]
        pending.append((number, amount))


class AccountBook:
    """Sums over the VMs that use one account."""

    __slots__ = (
        '_limit',
        '_position',
        '_total',
        'demand_sum',
        'holding_count',
        'lost_sum',
        'reserved_sum',
    )

    def __init__(self, position: int) -> None:
        """Start without VMs; ``position`` differs between accounts."""
        self._limit: AccountLimit | None = None
        self._position = position
        self._total = 0
        self.holding_count = 0
        self.reserved_sum = 0
        """Reserved for VMs that report."""

        self.lost_sum = 0
        """Reserved for VMs that no longer report."""

        self.demand_sum = 0
        """Demand of VMs that report."""

    def use_limit(self, limit: AccountLimit, terms: AllotmentTerms) -> None:
        """Compute the total of the current limit."""
        if limit != self._limit:
            self._limit = limit
            self._total = window_total(limit, terms)

    def change(self, holding: Holding, reserved: int, demand: int) -> None:
        """Change what is reserved for a VM that reports, and its demand."""
        self.reserved_sum += reserved - holding.reserved
        self.demand_sum += demand - holding.demand
        holding.reserved = reserved
        holding.demand = demand

    @property
    def free(self) -> int:
        """What no VM may have; negative after the limit was lowered."""
        return self._total - self.lost_sum - self.reserved_sum

    @property
    def is_overloaded(self) -> bool:
        """Whether VMs that report want more than there is."""
        return self.demand_sum > self._available

    def wanted(self, holding: Holding, vm_position: int) -> int:
        """Return what a VM should get of what there is."""
        if self.is_overloaded:
            return self._share(holding, vm_position)
        need = holding.demand
        beyond_need = self.free + holding.reserved - need
        beyond_need -= self._total // _SCARCE_PART
        if beyond_need <= 0:
            return need
        margin = -(-need * _MARGIN_NUMERATOR // _MARGIN_DENOMINATOR) + 1
        margin = min(margin, beyond_need // _MARGIN_PART)
        return need + max(margin, min(beyond_need, self._spare_part(need)))

    def renewed(self, allotment: int) -> int:
        """Return what to renew while the sums are incomplete."""
        if self.reserved_sum <= self._total:
            return allotment
        return allotment * self._total // self.reserved_sum

    @property
    def is_scarce(self) -> bool:
        """Whether VMs should return what they do not use."""
        return self.is_overloaded or self.free < self._total // _SCARCE_PART

    @property
    def _available(self) -> int:
        """Total for VMs that report."""
        return max(0, self._total - self.lost_sum)

    def _share(self, holding: Holding, vm_position: int) -> int:
        """Return a part in proportion to demand.

        It is limited to what the VM can use before it asks again, so that
        nothing lies unused while others want more.
        """
        need = holding.demand
        share = need * self._available / self.demand_sum
        free = self.free
        if free >= 0:
            # Offsets that are spread evenly over the VMs make the sum of the
            # rounded shares equal that of the shares.
            share += self._rounding_offset(vm_position)
        part = int(share)
        if free > _RESERVE:
            part = max(part, holding.reserved + free - _RESERVE)
        soon = max(holding.waiting, need // NEAR_DEMAND_PART)
        return min(need, part, holding.reserved + soon)

    def _spare_part(self, need: int) -> int:
        """Return a part in proportion of most of what nobody wants.

        VMs go on with it while no leader can raise allotments.
        """
        if not self.demand_sum:
            return 0
        spare = self._available - self.demand_sum - self._total // _SCARCE_PART
        part = need * max(0, spare) // self.demand_sum
        return part * _SPARE_NUMERATOR // _SPARE_DENOMINATOR

    def _rounding_offset(self, vm_position: int) -> float:
        fraction, _whole = math.modf(
            (vm_position + self._position) * _GOLDEN_FRACTION
        )
        return fraction
