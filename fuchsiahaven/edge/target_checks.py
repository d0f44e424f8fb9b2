"""Check by a new connection whether a target has exited."""

from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import connectors, exchanges


class TargetCheck:
    """Track whether the next connection decides a target check."""

    def __init__(self) -> None:
        """Start without a pending check."""
        self._is_pending = False

    def start(
        self, exchange: exchanges.Exchange, fault: messages.Fault
    ) -> bool:
        """Start a check if the exchange failed by a lost connection."""
        is_lost = fault is messages.Fault.CONNECTION_LOST
        if not is_lost or not isinstance(exchange.action, messages.Send):
            return False
        self._is_pending = True
        return True

    def finish(
        self, outcome: connectors.Outcome
    ) -> messages.TargetChecked | None:
        """Return the result of a pending check; None without one."""
        if not self._is_pending:
            return None
        self._is_pending = False
        match outcome:
            case connectors.ConnectionOpened(target):
                return messages.TargetChecked(target.name, exited=False)
            case connectors.ConnectionFailed(target, _, refused):
                return messages.TargetChecked(target.name, exited=refused)
