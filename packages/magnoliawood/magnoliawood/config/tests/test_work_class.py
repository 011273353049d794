import pydantic
import pytest

from magnoliawood.config import work_class as work_classes


@pytest.mark.parametrize('field', ['weight', 'server', 'address'])
def test_unknown_field_is_rejected_by_name(field):
    with pytest.raises(pydantic.ValidationError) as caught:
        work_classes.WorkClass(
            name='alerts', target_seconds=2, **{field: '10.0.0.1'}
        )
    assert caught.value.errors()[0]['loc'] == (field,)


@pytest.mark.parametrize('target', [0, -1, float('inf'), 'soon'])
def test_invalid_target_is_rejected(target):
    with pytest.raises(pydantic.ValidationError):
        work_classes.WorkClass(name='alerts', target_seconds=target)
