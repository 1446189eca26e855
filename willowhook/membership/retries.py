"""Which retries may be published for a route.

They are numbers, as admission limits carry them: 0: none; 1: one, after proof that the first attempt never
ran; 2 and 3: one and two after any failure. So of two the lower one allows less.
"""

from __future__ import annotations

PROVEN_ONLY = 1


def stricter_retries(first: int, second: int) -> int:
    """That of two which allows less."""
    return min(first, second)


def publishable_retries(semantics: str, retries: int) -> int:
    """What of these retries may be published for a route of these request semantics.

    The published form knows neither the group nor the window in which endpoints recognize an idempotency key,
    so only idempotent requests are retried after any failure, and all others after proof.
    """
    return retries if semantics == "idempotent" else min(retries, PROVEN_ONLY)
