"""Which retries may be published for a route.

They are the numbers that admission limits carry: 0 allows none; 1 allows one, after proof that the first
attempt never executed; 2 and 3 allow one and two after any failure. The lower of two numbers allows less.
"""

from __future__ import annotations

from ..decisions.settings import RequestSemantics

PROVEN_ONLY = 1


def stricter_retries(first: int, second: int) -> int:
    """Returns the one of two that allows less."""
    return min(first, second)


def publishable_retries(semantics: RequestSemantics, retries: int) -> int:
    """Returns which of these retries may be published for a route of these request semantics.

    The published form knows neither the group nor the window in which endpoints recognize an idempotency key,
    so only idempotent requests are retried after any failure, and all others after proof.
    """
    return retries if semantics is RequestSemantics.IDEMPOTENT else min(retries, PROVEN_ONLY)
