"""The watch of a settings file."""

from endivewick_node.settings_watch import _file_version
from testtools.assertions import assert_that
from testtools.matchers import Is, Not


# A folder that is replaced while the file is looked at must not end the process.
def test_a_file_that_cannot_be_looked_at_has_no_version(tmp_path):
    path = tmp_path / "settings" / "gateway.toml"
    assert_that(_file_version(path), Is(None))
    path.parent.write_text("not a folder")
    assert_that(_file_version(path), Is(None))
    path.parent.unlink()
    path.parent.mkdir()
    path.write_text("")
    assert_that(_file_version(path), Not(Is(None)))
