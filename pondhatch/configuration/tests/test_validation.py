"""Validation: valid data is converted, every misfit is reported with its path."""

from __future__ import annotations

import unittest
from typing import Annotated, Any, Literal
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Meta

from pondhatch.configuration import _schema, _settings, _validation
from pondhatch.configuration._validation import (
    MISSING,
    UNKNOWN_KEY,
    Misfit,
    _validate_by_parts,
    validate,
)

Short = Annotated[str, Meta(pattern=r"^[a-z]{1,3}$")]


class Inner(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    number: Annotated[int, Meta(ge=1, le=9)]
    note: Short | None = None


class Outer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: Short
    share: Annotated[float, Meta(gt=0)] = 1.0
    kind: Literal["a", "b"] = "a"
    inner: Inner | None = None
    several: Annotated[tuple[Inner, ...], Meta(min_length=1)] = (Inner(1),)
    by_name: dict[Short, Inner] = msgspec.field(default_factory=dict)
    values: dict[str, bool | int | float | str] = msgspec.field(default_factory=dict)


class ValidationTest(unittest.TestCase):
    def test_valid_data_is_converted(self) -> None:
        data: dict[str, Any] = {
            "name": "abc",
            "share": 2,
            "inner": {"number": 3, "note": "x"},
            "several": [{"number": 1}, {"number": 9}],
            "by_name": {"k": {"number": 4}},
            "values": {"a": True, "b": 1, "c": 1.5, "d": "text"},
        }
        inner = Inner(3, "x")
        several = (Inner(1), Inner(9))
        values: dict[str, bool | int | float | str] = {"a": True, "b": 1, "c": 1.5, "d": "text"}
        expected = Outer("abc", 2.0, "a", inner, several, {"k": Inner(4)}, values)
        validated = validate(Outer, data)
        self.assertEqual(validated, expected)
        self.assertIsInstance(getattr(validated, "share", None), float)
        self.assertIs(getattr(validated, "values", {})["a"], True)

    def test_each_misfit_has_its_path_and_expectation(self) -> None:
        rows: tuple[tuple[dict[str, Any], tuple[str | int, ...], str], ...] = (
            ({"name": "long"}, ("name",), "must match"),
            ({"name": 1}, ("name",), "expected str, found 1"),
            ({"name": None}, ("name",), "found nothing"),
            ({"share": "1"}, ("share",), "found '1'"),
            ({"share": True}, ("share",), "found True"),
            ({"share": 0}, ("share",), "greater than 0"),
            ({"kind": "c"}, ("kind",), "expected 'a' or 'b', found 'c'"),
            ({"inner": 3}, ("inner",), "expected an object, found 3"),
            ({"inner": {}}, ("inner", "number"), MISSING),
            ({"inner": {"number": 1, "x": 2}}, ("inner", "x"), UNKNOWN_KEY),
            ({"inner": {"number": 1.5}}, ("inner", "number"), "expected int, found 1.5"),
            ({"inner": {"number": True}}, ("inner", "number"), "expected int, found True"),
            ({"several": []}, ("several",), "length greater than or equal to 1"),
            ({"several": "ab"}, ("several",), "a valid list"),
            ({"several": [{"number": 0}]}, ("several", 0, "number"), "greater than or equal to 1"),
            ({"by_name": {"LONG": {"number": 1}}}, ("by_name", "LONG"), "must match"),
            ({"by_name": {"k": {"number": 10}}}, ("by_name", "k", "number"), "or equal to 9"),
            ({"values": {"a": [1]}}, ("values", "a"), "found [1]"),
            ({"values": {"a": list(range(90))}}, ("values", "a"), "found a list of 90"),
            ({"share": "x" * 90}, ("share",), f"found '{'x' * 79}..."),
            ({"surname": 1}, ("surname",), UNKNOWN_KEY),
        )
        for changes, path, expected_text in rows:
            with self.subTest(changes=changes):
                misfits = validate(Outer, {"name": "abc", **changes})
                assert isinstance(misfits, tuple)
                self.assertEqual([misfit.path for misfit in misfits], [path])
                self.assertIn(expected_text, misfits[0].expected)

    def test_all_misfits_are_returned_in_order_of_their_paths(self) -> None:
        misfits = validate(Outer, {"share": -1, "inner": {"number": 0, "note": "LONG"}, "x": 1})
        assert isinstance(misfits, tuple)
        paths = [misfit.path for misfit in misfits]
        expected = [("inner", "note"), ("inner", "number"), ("name",), ("share",), ("x",)]
        self.assertEqual(paths, expected)

    def test_data_that_is_not_an_object(self) -> None:
        several: tuple[Any, ...] = (None, [], "text", 3)
        for data in several:
            with self.subTest(data=data):
                misfits = validate(Outer, data)
                assert isinstance(misfits, tuple)
                self.assertEqual([each.path for each in misfits], [()])
        self.assertEqual(validate(Outer, None), (Misfit((), "expected an object, found nothing"),))


class FastPathTest(unittest.TestCase):
    """Converting in one call accepts exactly what validation part by part accepts."""

    def test_each_schema_forbids_unknown_fields(self) -> None:
        schemas = [
            each
            for module in (_schema, _settings)
            for each in vars(module).values()
            if isinstance(each, type)
            and issubclass(each, msgspec.Struct)
            and each.__module__ == module.__name__
        ]
        self.assertGreater(len(schemas), 15)
        for schema in schemas:
            with self.subTest(schema=schema.__name__):
                self.assertTrue(schema.__struct_config__.forbid_unknown_fields)

    @given(
        values=st.dictionaries(
            st.sampled_from(
                ("name", "share", "kind", "inner", "several", "by_name", "values", "x")
            ),
            st.recursive(
                st.sampled_from((None, True, 0, 1, 9, 10, 2.0, -1.5, "a", "abc", "LONG", "k")),
                lambda inner: (
                    st.lists(inner, max_size=2)
                    | st.dictionaries(
                        st.sampled_from(("number", "note", "k", "x")), inner, max_size=3
                    )
                ),
                max_leaves=6,
            ),
        )
    )
    def test_it_returns_the_same_as_validation_by_parts(self, values: dict[str, Any]) -> None:
        data = {"name": "abc", **values}
        self.assertEqual(validate(Outer, data), _validate_by_parts(Outer, data))

    def test_valid_data_is_not_validated_by_parts(self) -> None:
        with mock.patch.object(
            _validation, "_validate_by_parts", side_effect=AssertionError("validated by parts")
        ):
            self.assertEqual(validate(Inner, {"number": 3}), Inner(3))
