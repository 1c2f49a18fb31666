"""Tells whether the configuration in force is the newest known one."""

# Half of the smallest time in which the users' sites require a change to be in
# force.
ALARM_AFTER_MS = 1000


class ConfigurationLag:
    """Time for which an entry has known of a version that it lacks."""

    def __init__(self) -> None:
        """Starts without a known version."""
        # Newest version that this entry or a peer has in force.
        self.known_version = 0
        self._behind_since_ms: float | None = None
        self._reported = False

    def note_known(self, version: int, now_ms: float) -> None:
        """Records that a version exists.

        Args:
            version: Version that an entry has in force.
            now_ms: Monotonic time.
        """
        if version > self.known_version:
            self.known_version = version
            if self._behind_since_ms is None:
                self._behind_since_ms = now_ms

    def note_in_force(self, version: int) -> None:
        """Records the version that is in force at this entry.

        Args:
            version: The version.
        """
        self.known_version = max(self.known_version, version)
        if version == self.known_version:
            self._behind_since_ms = None
            self._reported = False

    def behind_ms(self, now_ms: float) -> float:
        """Returns for how long a known version has been missing here.

        Args:
            now_ms: Monotonic time.
        """
        if self._behind_since_ms is None:
            return 0
        return now_ms - self._behind_since_ms

    def take_alarm(self, now_ms: float) -> bool:
        """Returns whether the lag has just become worth a report.

        Args:
            now_ms: Monotonic time.
        """
        if self._reported or self.behind_ms(now_ms) < ALARM_AFTER_MS:
            return False
        self._reported = True
        return True
