"""Tell how old what a host knows of customers' keys may be."""


class Freshness:
    """Own what proves how old the knowledge of keys is."""

    def find_wait(self) -> float:
        """Say in how many seconds to come back; 0 where keys are known.

        A host that cannot prove how old its knowledge is must not take
        requests with keys.
        """
        return 0.0
