"""Balance the experts of a rank group and switch all its ranks to a new map at the same step."""

from __future__ import annotations

from dalehollow.groups.expert_map import ExpertMap, LayerMap, layer_skew, rank_loads, step_skew
from dalehollow.groups.plan import POLICIES, Plan, Policy, plan_map
from dalehollow.groups.votes import Ledger, Outcome, Proposal, Vote, decide_vote, tally_votes

__all__ = [
    "POLICIES",
    "ExpertMap",
    "LayerMap",
    "Ledger",
    "Outcome",
    "Plan",
    "Policy",
    "Proposal",
    "Vote",
    "decide_vote",
    "layer_skew",
    "plan_map",
    "rank_loads",
    "step_skew",
    "tally_votes",
]
