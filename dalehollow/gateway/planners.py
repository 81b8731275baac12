"""Planners of all rank groups that a gateway knows, and the gateway that holds each duty."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from dalehollow.gateway.groups import GroupRanks
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.plan_policy import PlanPolicy, PlanTerms
from dalehollow.gateway.planner import GroupPlanner
from dalehollow.gateway.settings import GatewaySettings
from dalehollow.gateway.state import GatewayState
from dalehollow.gateway.table import ExpertFigures
from dalehollow.gateway.tasks import keep_running
from dalehollow.groups.ranks import StoredPlan
from dalehollow.platform.ranks import RankClient
from dalehollow.platform.session import Session
from dalehollow.rendezvous import count_before

_MS_PER_S = 1000


class GroupPlanners:
    """Start a planner for each group, and forward changes of the store to it."""

    def __init__(
        self,
        settings: GatewaySettings,
        state: GatewayState,
        session: Session,
        members: Mapping[str, Member],
    ) -> None:
        """Create an empty set; `members` are the gateways by name."""
        self._settings = settings
        self._state = state
        self._session = session
        self._members = members
        self.by_group: dict[str, GroupPlanner] = {}
        # Names of the gateways that hold the duties, by duty.
        self.holders: dict[str, str] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def plan_group_of(self, listed: ListedUpstream) -> None:
        """Start the planner of a rank's group, if its service's expert figures are known."""
        key, table = listed.group_key, self._state.table
        if not listed.group or table is None or key in self.by_group:
            return
        service = table.services.get(listed.service)
        experts = service.engine.experts if service and service.engine else None
        if experts is None:
            return
        self.by_group[key] = self._make_planner(listed, experts)
        self.tasks.append(keep_running(f"planner-{key}", self.by_group[key].run))

    def record_epoch(self, listed: ListedUpstream) -> None:
        """Notify a group's planner of a new epoch."""
        if listed.group_key in self.by_group:
            self.by_group[listed.group_key].record_epoch(listed.group_epoch)

    def record_plan(self, duty: str, plan: StoredPlan) -> None:
        """Apply a stored plan: the demand and the slow ranks that a group's map is based on."""
        # A duty has the key of its group.
        self._state.upstreams.record_slow_ranks(duty, plan.slow_ranks)
        self._state.move_from_slow_ranks(duty)
        if duty in self.by_group:
            self.by_group[duty].set_stored_demand(plan.demand)

    def record_holder(self, duty: str, holder: str | None) -> None:
        """Record the holder of a duty, None if it is vacant."""
        if holder is None:
            self.holders.pop(duty, None)
            if duty in self.by_group:
                self.by_group[duty].record_vacancy()
        else:
            self.holders[duty] = holder

    def stop(self) -> None:
        """Stop every planner."""
        for planner in self.by_group.values():
            planner.stop()

    def _make_planner(self, listed: ListedUpstream, figures: ExpertFigures) -> GroupPlanner:
        key, service = listed.group_key, listed.service
        ranks = GroupRanks(self._state.upstreams, key)
        settings = self._settings
        return GroupPlanner(
            duty=key,
            duties=self._session,
            holder=lambda: self.holders.get(key),
            count_predecessors=lambda: self._count_duty_predecessors(key),
            port=RankClient(figures.layers, ranks, settings.link_mbps),
            ranks=ranks.read,
            figures=figures,
            policy=_make_plan_policy(settings),
            rng=self._state.rng,
            pass_times=self._state.pass_times_of(listed),
            load=lambda: self._state.upstreams.group_load(key),
            pause_objective_s=lambda: self._state.pause_objective_s(service),
        )

    def _count_duty_predecessors(self, group_key: str) -> int:
        """Return how many gateways try to take the duty of a group before this one.

        Gateways of the hall with most of its ranks come first: they measure the group's passes
        from their own streams, and their orders and counts do not cross halls.
        """
        home = self._state.upstreams.home_hall(group_key)
        own_name, own_hall = self._settings.name, self._settings.hall
        is_home = own_hall == home
        peers = [n for n, m in self._members.items() if (m.hall == home) == is_home]
        first = 0 if is_home else len(self._members) - len(peers)
        return first + count_before(peers, own_name, group_key)


def _make_plan_policy(settings: GatewaySettings) -> PlanPolicy:
    return PlanPolicy(
        normal=PlanTerms(
            settings.plan_interval_ms / _MS_PER_S,
            settings.plan_begin_gain,
            settings.plan_copy_price_mb,
        ),
        pressed=PlanTerms(
            settings.plan_pressed_interval_ms / _MS_PER_S,
            settings.plan_pressed_begin_gain,
            settings.plan_pressed_copy_price_mb,
        ),
        pressed_share=settings.plan_pressed_share,
        sampled_share=settings.plan_sampled_share,
        memory=settings.plan_memory,
        copy_s=settings.plan_copy_ms / _MS_PER_S,
    )
