"""The errors that end an endivewick process, each with its exit code."""


class EndivewickError(Exception):
    """Base of the errors that end a process; ``exit_code`` tells scripts which."""

    exit_code = 1


class SettingsInvalid(EndivewickError):
    """The settings have faults; ``faults`` lists all of them."""

    exit_code = 2

    def __init__(self, faults: list[str]) -> None:
        """Keep the faults, one line each."""
        super().__init__("\n".join(faults))
        self.faults = faults


class StorageCorrupt(EndivewickError):
    """Data that was synced to the data folder can't be read back."""

    exit_code = 3


class StorageFailed(EndivewickError):
    """The data folder could not be written or synced."""

    exit_code = 4


class AddressInUse(EndivewickError):
    """An address of the settings can't be bound."""

    exit_code = 5
