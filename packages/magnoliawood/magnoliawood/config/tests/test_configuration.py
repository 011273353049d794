import pytest

from magnoliawood.config import account as accounts
from magnoliawood.config import configuration as configurations
from magnoliawood.core import errors
from magnoliawood.platform import store


def account(name, *tokens):
    return accounts.Account(
        name=name,
        role='caller',
        token_hashes=[accounts.hash_token(token) for token in tokens],
    )


def stored(prefix, model, version):
    name = prefix + model.name
    return store.StoredObject(name, version, model.model_dump_json())


def configuration(*models):
    objects = [
        stored(configurations.ACCOUNT_PREFIX, model, number)
        for number, model in enumerate(models, start=1)
    ]
    return configurations.Configuration.from_objects(9, objects)


def test_each_credential_authenticates_its_account():
    current = configuration(account('a', 'one', 'two'), account('b', 'three'))
    names = [current.authenticate(t).name for t in ('one', 'two', 'three')]
    assert names == ['a', 'a', 'b']


@pytest.mark.parametrize('token', ['', 'four', accounts.hash_token('one')])
def test_unknown_token_is_rejected(token):
    current = configuration(account('a', 'one'))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        current.authenticate(token)
    assert caught.value.code == errors.ErrorCode.UNAUTHENTICATED
    assert not token or token not in caught.value.detail


def test_malformed_object_keeps_its_value_and_others_are_updated():
    before = configuration(account('a', 'one'), account('b', 'two'))
    newer = store.StoredObject(
        configurations.ACCOUNT_PREFIX + 'a', 10, '{"name": "a", "new": 1}'
    )
    unknown = store.StoredObject(
        configurations.CLASS_PREFIX + 'c', 11, 'malformed'
    )
    changed = stored(configurations.ACCOUNT_PREFIX, account('b', 'three'), 12)
    after = configurations.Configuration.from_objects(
        12, [newer, unknown, changed], before
    )
    assert after.authenticate('one').name == 'a'
    assert after.authenticate('three').name == 'b'
    assert after.malformed == {newer.name, unknown.name}
    assert not after.classes
