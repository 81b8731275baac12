"""Decide whether a failed request may have run and whether it may be retried.

docs/VERDICTS.md has the same table; tests/test_verdict.py checks this module against a copy of it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Verdict(enum.StrEnum):
    """State whether an upstream executed a request."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


class Step(enum.StrEnum):
    """List the steps of a request at which it can fail, in their order."""

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
class FailureAssessment:
    """Hold the verdict on a failure and whether the system may retry the request."""

    verdict: Verdict
    may_retry: bool


# Failures before any byte of the request was sent to the process that could execute it.
_NOT_RUN_STEPS = frozenset(
    {Step.ADMIT, Step.CHOOSE, Step.CONNECT_SIDECAR, Step.QUEUE, Step.CONNECT_UPSTREAM}
)
# Failures that are this system's own decision about one caller; a retry would not change it.
_NO_RETRY_STEPS = frozenset({Step.ADMIT, Step.CHOOSE})


def assess_failure(
    step: Step, *, repeatable: bool, answer_begun: bool = False
) -> FailureAssessment:
    """Decide on a failure by the step at which it occurred.

    `repeatable` is the operation's setting in the configuration. `answer_begun` is True if a byte
    of the response has been sent to the caller, after which no retry may send it another one.
    """
    if step is Step.RELAY_ANSWER or answer_begun:
        return FailureAssessment(Verdict.RAN, may_retry=repeatable and not answer_begun)
    if step in _NOT_RUN_STEPS:
        return FailureAssessment(Verdict.NOT_RUN, may_retry=step not in _NO_RETRY_STEPS)
    return FailureAssessment(Verdict.MAY_HAVE_RUN, may_retry=repeatable)
