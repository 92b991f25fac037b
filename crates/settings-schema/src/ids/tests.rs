use super::*;

#[test]
fn an_id_keeps_its_index_until_it_is_released() {
    let mut ids = IdInterner::default();
    let index = ids.intern("a".to_string());
    assert_eq!((ids.intern("a".to_string()), ids.find("a"), ids.count()), (index, Some(index), 1));
    assert_eq!(ids.key(index).map(String::as_str), Some("a"));
    ids.release(index);
    assert_eq!((ids.find("a"), ids.key(index), ids.count()), (None, None, 0));
}

#[test]
fn the_index_released_last_is_reused_first() {
    let mut ids = IdInterner::default();
    let [first, second, third] = [1u64, 2, 3].map(|id| ids.intern(id));
    ids.release(first);
    ids.release(third);
    assert_eq!([4, 5, 6].map(|id| ids.intern(id)), [third, first, 3]);
    assert_eq!(ids.find(&2), Some(second));
}

#[test]
fn an_index_released_twice_is_freed_once() {
    let mut ids = IdInterner::default();
    let index = ids.intern(1u64);
    ids.release(index);
    ids.release(index);
    assert_ne!(ids.intern(2), ids.intern(3));
}
