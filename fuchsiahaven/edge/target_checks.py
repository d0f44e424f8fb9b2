"""See by a new connection whether a target has ended."""

from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import connectors, exchanges


class TargetCheck:
    """Own whether the next connection to a target is waited for."""

    def __init__(self) -> None:
        """Start without a doubt."""
        self._is_pending = False

    def start(
        self, exchange: exchanges.Exchange, fault: messages.Fault
    ) -> bool:
        """Tell whether the end of an exchange is worth a look."""
        is_lost = fault is messages.Fault.CONNECTION_LOST
        if not is_lost or not isinstance(exchange.action, messages.Send):
            return False
        self._is_pending = True
        return True

    def finish(
        self, outcome: connectors.Outcome
    ) -> messages.TargetChecked | None:
        """Tell what a connection shows that was asked for."""
        if not self._is_pending:
            return None
        self._is_pending = False
        match outcome:
            case connectors.ConnectionOpened(target):
                return messages.TargetChecked(target.name, exited=False)
            case connectors.ConnectionFailed(target, _, refused):
                return messages.TargetChecked(target.name, exited=refused)
