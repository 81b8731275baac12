"""Say whether a failed request may have run, and whether it may be tried again.

The table is the same as the page docs/VERDICTS.md; a test holds the two together.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Verdict(enum.StrEnum):
    """Tell whether a request ran at an upstream."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


class Step(enum.StrEnum):
    """Name the steps of a request at which it can fail, in their order."""

    ADMIT = "admit"
    CHOOSE = "choose"
    CONNECT_SIDECAR = "connect_sidecar"
    SEND_SIDECAR = "send_sidecar"
    QUEUE = "queue"
    CONNECT_UPSTREAM = "connect_upstream"
    SEND_UPSTREAM = "send_upstream"
    AWAIT_ANSWER = "await_answer"
    RELAY_ANSWER = "relay_answer"


@dataclass(frozen=True)
class Ruling:
    """Hold the verdict on a failure and whether the system may try again by itself."""

    verdict: Verdict
    may_retry: bool


# A step is "clean" while no byte of the request has left for the process that could run it.
_CLEAN_STEPS = frozenset(
    {Step.ADMIT, Step.CHOOSE, Step.CONNECT_SIDECAR, Step.QUEUE, Step.CONNECT_UPSTREAM}
)
# A failure at these is this system's own decision about one caller; another try changes nothing.
_FINAL_STEPS = frozenset({Step.ADMIT, Step.CHOOSE})


def judge_failure(step: Step, *, repeatable: bool, answer_begun: bool = False) -> Ruling:
    """Judge a failure by the step it happened at.

    Args: `repeatable` is the operation's mark in the configuration; `answer_begun` says that a
    byte of an answer has gone to the caller, after which no other try may speak to it.
    """
    if step is Step.RELAY_ANSWER or answer_begun:
        return Ruling(Verdict.RAN, may_retry=repeatable and not answer_begun)
    if step in _CLEAN_STEPS:
        return Ruling(Verdict.NOT_RUN, may_retry=step not in _FINAL_STEPS)
    return Ruling(Verdict.MAY_HAVE_RUN, may_retry=repeatable)
