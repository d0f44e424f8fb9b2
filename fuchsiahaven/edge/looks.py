"""See by a new connection whether a target has ended."""

from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import connectors, exchanges


class Look:
    """Own whether the next connection to a target is waited for."""

    def __init__(self) -> None:
        """Start without a doubt."""
        self._waiting = False

    def begin(
        self, exchange: exchanges.Exchange, fault: messages.Fault
    ) -> bool:
        """Tell whether the end of an exchange is worth a look."""
        lost = fault is messages.Fault.CONNECTION_LOST
        if not lost or not isinstance(exchange.action, messages.Send):
            return False
        self._waiting = True
        return True

    def end(self, outcome: connectors.Outcome) -> messages.TargetChecked | None:
        """Tell what a connection shows that was asked for."""
        if not self._waiting:
            return None
        self._waiting = False
        match outcome:
            case connectors.Opened(target):
                return messages.TargetChecked(target.name, exited=False)
            case connectors.Unopened(target, _, refused):
                return messages.TargetChecked(target.name, exited=refused)
