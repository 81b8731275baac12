"""Test the verdict and the retry decision for each step, as listed in docs/VERDICTS.md."""

from __future__ import annotations

import pytest

from dalehollow.verdict import FailureAssessment, Step, Verdict, assess_failure

NOT_RUN, MAY, RAN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN

# step: (verdict, may retry if repeatable, may retry if not repeatable)
TABLE = {
    Step.ADMIT: (NOT_RUN, False, False),
    Step.CHOOSE: (NOT_RUN, False, False),
    Step.CONNECT_SIDECAR: (NOT_RUN, True, True),
    Step.SEND_SIDECAR: (MAY, True, False),
    Step.QUEUE: (NOT_RUN, True, True),
    Step.CONNECT_UPSTREAM: (NOT_RUN, True, True),
    Step.SEND_UPSTREAM: (MAY, True, False),
    Step.AWAIT_ANSWER: (MAY, True, False),
    Step.RELAY_ANSWER: (RAN, True, False),
}


def test_table_has_every_step() -> None:
    assert set(TABLE) == set(Step)


@pytest.mark.parametrize("step", Step)
def test_table(step: Step) -> None:
    verdict, if_repeatable, if_not_repeatable = TABLE[step]
    assert assess_failure(step, repeatable=True) == FailureAssessment(verdict, if_repeatable)
    assert assess_failure(step, repeatable=False) == FailureAssessment(verdict, if_not_repeatable)


@pytest.mark.parametrize("step", Step)
def test_no_retry_after_the_response_has_begun(step: Step) -> None:
    assert assess_failure(step, repeatable=True, answer_begun=True) == FailureAssessment(RAN, False)
