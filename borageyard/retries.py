"""Retry budget: repeated attempts are a limited share of first attempts."""

import dataclasses

RETRY_SHARE = 0.1
INITIAL_RETRIES = 2
MAX_AVAILABLE_RETRIES = 20


@dataclasses.dataclass(slots=True)
class RetryAccount:
    """Attempts of one service and its available repeated attempts.

    Status reports write the fields out under their names.
    """

    saved: float = INITIAL_RETRIES
    first_attempts: int = 0
    retries: int = 0
    hedges: int = 0
    denied: int = 0


class RetryBudgets:
    """Retry budgets, one per service, shared by retries and hedges."""

    def __init__(self, share: float = RETRY_SHARE) -> None:
        """Starts each service with a small reserve, ``INITIAL_RETRIES``.

        Args:
            share: Repeated attempts allowed per first attempt.
        """
        self._share = share
        self.accounts: dict[str, RetryAccount] = {}

    def note_first_attempt(self, service: str) -> None:
        """Counts a first attempt and adds its share to the budget.

        The budget holds at most ``MAX_AVAILABLE_RETRIES``.
        """
        account = self._account(service)
        account.first_attempts += 1
        account.saved = min(account.saved + self._share, MAX_AVAILABLE_RETRIES)

    def take_retry(self, service: str) -> bool:
        """Spends a retry from the budget.

        Args:
            service: Service that would run the attempt.

        Returns:
            Whether the budget allows it.
        """
        account = self._account(service)
        granted = _spend(account)
        account.retries += int(granted)
        return granted

    def take_hedge(self, service: str) -> bool:
        """Spends a hedge if at least one retry remains available after it.

        Args:
            service: Service that would run the attempt.

        Returns:
            Whether the budget allows it.
        """
        account = self._account(service)
        granted = account.saved >= INITIAL_RETRIES and _spend(account)
        account.hedges += int(granted)
        return granted

    def _account(self, service: str) -> RetryAccount:
        return self.accounts.setdefault(service, RetryAccount())


def _spend(account: RetryAccount) -> bool:
    if account.saved < 1:
        account.denied += 1
        return False
    account.saved -= 1
    return True
