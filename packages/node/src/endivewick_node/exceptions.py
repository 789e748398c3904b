"""The errors that end a process, each with its exit code."""


class EndivewickError(Exception):
    """Base class of errors that end a process; ``exit_code`` lets scripts tell them apart."""

    exit_code = 1


class SettingsInvalid(EndivewickError):
    """The settings have faults; ``faults`` lists all of them."""

    exit_code = 2

    def __init__(self, faults: list[str]) -> None:
        """Keep the faults, one line each."""
        super().__init__("\n".join(faults))
        self.faults = faults


class StorageCorrupt(EndivewickError):
    """Data that had been synced to the data folder is unreadable or damaged."""

    exit_code = 3


class StorageFailed(EndivewickError):
    """The data folder could not be written or synced."""

    exit_code = 4


class AddressInUse(EndivewickError):
    """An address in the settings can't be bound."""

    exit_code = 5
