"""Tests of the settings of one process."""

from returns.pipeline import is_successful

from masticstage.settings import load_settings

VALID = """
[instance]
name = "a-0"
data_centre = "a"
region = "north"
caller_address = "127.0.0.1:8000"
peer_address = "127.0.0.1:7000"
[platform]
address = "http://127.0.0.1:9000"
[tokens]
secrets = ["a-secret-for-tests"]
"""


def load(tmp_path, text):
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    return load_settings(path)


def find_faults(tmp_path, text):
    return {fault.key for fault in load(tmp_path, text).failure()}


def test_minimal_settings_are_valid(tmp_path):
    loaded = load(tmp_path, VALID).unwrap()
    assert loaded.limits.open_streams == 2000


def test_absent_file_is_a_fault(tmp_path):
    assert not is_successful(load_settings(tmp_path / 'none.toml'))


def test_text_that_is_not_toml_is_a_fault(tmp_path):
    assert not is_successful(load(tmp_path, 'instance = ['))


def test_all_faults_are_reported_together(tmp_path):
    text = VALID.replace('127.0.0.1:8000', 'here').replace('a-secret-', '')
    faults = find_faults(tmp_path, f'{text}[timing]\ngossip_ms = "often"\n')
    assert faults == {
        'instance.caller_address',
        'tokens.secrets.0',
        'timing.gossip_ms',
    }


def test_certificate_without_key_is_a_fault(tmp_path):
    text = f'{VALID}[peer_tls]\ncertificate = "c.pem"\n'
    assert find_faults(tmp_path, text) == {'peer_tls'}


def test_missing_certificate_file_is_a_fault(tmp_path):
    text = f'{VALID}[caller_tls]\ncertificate = "c.pem"\nkey = "k.pem"\n'
    assert find_faults(tmp_path, text) == {
        'caller_tls.certificate',
        'caller_tls.key',
    }
