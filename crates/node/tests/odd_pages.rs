//! Odd pages of the platform's store and odd extracts of other nodes, drawn.

#[path = "gateway/odd.rs"]
mod odd;

use node::gateway::{extracts, replica};
use platform::store::{item, position};
use quickcheck::{Arbitrary as _, Gen};
use serde_json::{Value, json};

/// Pages that are drawn.
const PAGES: usize = 4_000;

/// Pages that one copy of the store takes.
const PAGES_OF_COPY: usize = 8;

/// Size of drawn collections.
const DRAW_SIZE: usize = 40;

/// Seed of the draw.
const SEED: u64 = 83;

/// Returns a page as the store answers it.
fn sound() -> Value {
    // The values are `{}` and an entry that cannot be read.
    json!({
        "items": [
            { "key": "servers/a", "value": "e30=", "revision": 3, "lease": 7 },
            { "key": "op/evacuate/north-1", "value": "", "revision": 4 },
            { "key": "nodes/n-1", "value": "eA==", "revision": 5, "gone": false },
            { "key": "servers/b", "revision": 6, "gone": true },
        ],
        "more": false,
        "at": 6,
    })
}

/// Guards against numbers that overflow, and text that is no text, in what the store says around its values.
#[test]
fn odd_pages_end_no_copy_of_the_store() {
    let mut draw = Gen::from_size_and_seed(DRAW_SIZE, SEED);
    let mut read = 0;
    let mut copy = replica::Replica::default();
    for number in 0..PAGES {
        if number % PAGES_OF_COPY == 0 {
            copy = replica::Replica::default();
        }
        let bytes = odd::value(&mut draw, &sound());
        let Ok(page) = serde_json::from_slice::<item::Page>(&bytes) else { continue };
        read += 1;
        let page = page.of_era(*draw.choose(&[0, 1, u64::MAX]).expect("there are eras"));
        match bool::arbitrary(&mut draw) {
            true => copy.merge(page),
            false => copy.replace(page),
        };
        let after = position::Position::new(u64::arbitrary(&mut draw), u64::arbitrary(&mut draw));
        let extract = extracts::encode(&copy.extract(after)).expect("it can be encoded");
        assert!(extracts::decode(&extract).is_ok(), "{}", odd::beginning(&bytes));
    }
    println!("{read} of {PAGES} could be read");
    assert!(read >= PAGES / 20, "{read} of {PAGES} could be read");
}

/// Guards against an extract that ends the node that gets it.
#[test]
fn odd_extracts_end_no_node() {
    let mut draw = Gen::from_size_and_seed(DRAW_SIZE, SEED);
    let mut copy = replica::Replica::default();
    copy.replace(serde_json::from_value(sound()).expect("a page"));
    let extract = extracts::encode(&copy.extract(position::Position::default()));
    let extract: Value =
        serde_json::from_slice(&extract.expect("it can be encoded")).expect("it is not compressed");
    let mut read = 0;
    for _ in 0..PAGES {
        let bytes = odd::value(&mut draw, &extract);
        read += usize::from(extracts::decode(&bytes).is_ok());
        // The same as if it were compressed.
        let _ = extracts::decode(&[&[0x1f, 0x8b], bytes.as_slice()].concat());
    }
    assert!(read >= PAGES / 50, "{read} of {PAGES} could be read");
}
