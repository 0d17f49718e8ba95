"""Tests of reloading the settings of a running instance."""

from pathlib import Path

from returns.result import Success

from masticstage.edges.reload import SettingsFile, load_entry_settings

_TEXT = """
seeds = ["10.0.0.1:1"]
unknown = 1

[instance]
name = "own"
data_centre = "a"
region = "north"
ip = "10.0.0.1"

[listen]
callers = "10.0.0.1:2"
readiness = "10.0.0.1:3"
peers = "10.0.0.1:1"
entries = "10.0.0.1:4"

[store]
address = "10.0.0.9:1"

[bounds]
grace_s = 8
repeat_ratio = 0.2
repeat_window_s = 10
repeat_slack = 56

[[places]]
data_centre = "a"
region = "north"
"""


def _open(tmp_path: Path) -> SettingsFile:
    path = tmp_path / 'settings.toml'
    path.write_text(_TEXT)
    loaded = load_entry_settings(path)
    assert isinstance(loaded, Success)
    return SettingsFile(path, loaded.unwrap())


def test_unknown_settings_are_ignored(tmp_path):
    settings = _open(tmp_path).settings
    assert settings.seeds == ('10.0.0.1:1',)
    assert settings.bounds.repeat_slack == 56


def test_all_faults_are_returned(tmp_path):
    path = tmp_path / 'settings.toml'
    path.write_text(_TEXT.replace('grace_s = 8', 'grace_s = "long"'))
    text = path.read_text().replace('region = "north"\nip', 'ip')
    path.write_text(text)
    faults = load_entry_settings(path).failure()
    assert len(faults) == 2


def test_new_seeds_apply_and_the_instance_name_stays(tmp_path):
    settings_file = _open(tmp_path)
    events = []
    changed = _TEXT.replace('10.0.0.1:1"]', '10.0.0.7:1"]')
    path = tmp_path / 'settings.toml'
    path.write_text(changed.replace('name = "own"', 'name = "other"'))

    settings_file.reload(lambda event, _: events.append(event))

    assert settings_file.settings.seeds == ('10.0.0.7:1',)
    assert settings_file.settings.instance.name == 'own'
    assert events == ['reloaded']


def test_an_invalid_file_leaves_the_settings_in_force(tmp_path):
    settings_file = _open(tmp_path)
    events = []
    (tmp_path / 'settings.toml').write_text('seeds = 5')

    settings_file.reload(lambda event, faults: events.append((event, faults)))

    assert settings_file.settings.seeds == ('10.0.0.1:1',)
    assert events[0][0] == 'reload_refused'
    assert events[0][1]
