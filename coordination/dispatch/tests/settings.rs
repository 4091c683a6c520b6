//! Settings that come in pieces: out of order, damaged, and overtaken on their way.

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use sill_base::random::{cases, seed};
use sill_base::{Map, Millis, Name, Packed};
use sill_dispatch::{PieceError, RouteTable, SettingsAssembly};
use sill_tree::{Document, DocumentText, PieceId, Route, Share, pieces};
use sill_wire::control::Revision;
use sill_wire::settings::{Manifest, Piece};

fn name(i: usize) -> Name {
    format!("r{i}").into()
}

fn route(i: usize, max_attempts: u32) -> Route {
    Route {
        host: format!("h{}", i % 3).into(),
        path: format!("/p{i}/").into(),
        split: vec![Share { service: "desk".into(), weight: 1 }],
        max_attempts,
        ..Route::default()
    }
}

fn document(routes: usize) -> Document {
    let routes = (0..routes).map(|i| (name(i), route(i, 1)));
    Document { routes: routes.collect(), ..Document::default() }
}

fn cut(revision: u64, document: &Document) -> (Manifest, Map<PieceId, Piece>) {
    let parts = pieces::cut(document).into_iter();
    let pieces = parts.map(|part| Piece::of(DocumentText::of(&part).as_str()));
    let pieces: Vec<Piece> = pieces.collect();
    let ids = pieces.iter().map(|piece| piece.id.clone()).collect();
    let manifest = Manifest { revision: Revision(revision), cut_at: Millis::ZERO, pieces: ids };
    (manifest, pieces.into_iter().map(|piece| (piece.id.clone(), piece)).collect())
}

/// Checks that a table has each route as its document does.
fn check(table: &RouteTable, document: &Document, routes: usize) {
    for i in 0..routes {
        let found = table.find(&format!("h{}", i % 3), &format!("/p{i}/x"));
        assert_eq!(found.map(|entry| &entry.route), document.routes.get(&name(i)), "route {i}");
    }
}

#[test]
fn a_garbled_piece_costs_itself_only() {
    // Bits flip on the way, or a control instance hands out another piece than was asked for. Were it
    // taken in, calls would go by settings that nobody wrote; were all given up, a restarted instance
    // would refuse calls for as long as it takes to fetch everything again.
    let document = document(700);
    let (manifest, pieces) = cut(1, &document);
    let mut assembly = SettingsAssembly::default();
    assert!(assembly.offer(manifest));
    let missing = assembly.missing();
    for (i, id) in missing.iter().enumerate() {
        let other = &missing[(i + 1) % missing.len()];
        let swapped = Piece { id: id.clone(), text: pieces[other].text.clone() };
        let taken =
            if i == 3 { assembly.add_piece(&swapped) } else { assembly.add_piece(&pieces[id]) };
        assert_eq!(taken, if i == 3 { Err(PieceError::Corrupt) } else { Ok(()) });
    }
    assert!(assembly.take_complete().is_none());
    assert_eq!(assembly.missing(), [missing[3].clone()]);
    assembly.add_piece(&pieces[&missing[3]]).expect("it is whole");
    let whole = assembly.take_complete().expect("nothing lacks");
    check(&RouteTable::join(1, &whole.parts), &document, 700);
}

#[test]
fn a_revision_that_can_not_be_read_is_left_until_a_newer_one_comes() {
    // A newer control instance knows a field that this program doesn't. The settings in force stay, and
    // the instance must not ask for the same piece for ever.
    let text = "{\"field_of_tomorrow\":1}";
    let piece = Piece::of(text);
    let manifest = |revision| Manifest {
        revision: Revision(revision),
        cut_at: Millis::ZERO,
        pieces: vec![piece.id.clone()],
    };
    let mut assembly = SettingsAssembly::default();
    assert!(assembly.offer(manifest(5)));
    let fault = assembly.add_piece(&piece).expect_err("the field is not known");
    assert!(matches!(fault, PieceError::Unreadable(_)), "{fault}");
    assembly.abandon_wanted();
    assert!(assembly.missing().is_empty() && assembly.take_complete().is_none());
    assert!(!assembly.offer(manifest(5)), "it was given up");
    assert!(assembly.offer(manifest(6)));
}

#[test]
fn pieces_of_overtaken_revisions_do_not_pile_up() {
    // A reader that is cut off before the last piece of each large change runs out of memory.
    const ROUTES: usize = 700;
    let mut document = document(ROUTES);
    let (manifest, pieces) = cut(1, &document);
    let in_force = pieces.len();
    let mut assembly = SettingsAssembly::default();
    assembly.offer(manifest);
    pieces.values().for_each(|piece| assembly.add_piece(piece).expect("it is whole"));
    assembly.take_complete().expect("nothing lacks");
    for revision in 2..60 {
        document.routes.values_mut().for_each(|route| route.max_attempts += 1);
        let (manifest, pieces) = cut(revision, &document);
        let wanted = manifest.pieces.len();
        assembly.offer(manifest);
        for id in assembly.missing().iter().skip(1) {
            assembly.add_piece(&pieces[id]).expect("it is whole");
        }
        assert!(assembly.take_complete().is_none());
        let bound = in_force + wanted;
        assert!(assembly.len() <= bound, "{} pieces, {bound} at most", assembly.len());
    }
    assert!(!assembly.is_empty(), "what is in force is forgotten");
}

#[test]
fn random_series_of_changes_end_in_the_newest_and_fetch_what_changed() {
    // Changes come in quick succession while pieces arrive late, twice, damaged or not at all. Routes of
    // an older revision must never come back, and what didn't change must not be fetched again.
    for case in 0..cases(60) {
        let mut rng = SmallRng::seed_from_u64(seed(1) + u64::from(case));
        let mut assembly = SettingsAssembly::default();
        let mut document = document(600);
        let (mut held, mut fetched) = (0, 0);
        let (mut manifest, mut pieces) = cut(1, &document);
        let all = pieces.len();
        assembly.offer(manifest.clone());
        for revision in 2..40 {
            for _ in 0..rng.random_range(0..6) {
                let mut missing = assembly.missing();
                missing.shuffle(&mut rng);
                for id in missing.iter().take(5) {
                    let piece = match rng.random_range(0..4) {
                        0 => continue,
                        1 => Piece { id: id.clone(), text: Packed::of("{}") },
                        _ => pieces[id].clone(),
                    };
                    fetched += usize::from(assembly.add_piece(&piece).is_ok());
                }
                if let Some(whole) = assembly.take_complete() {
                    assert!(whole.manifest.revision.0 > held, "case {case}: it went back");
                    held = whole.manifest.revision.0;
                    check(&RouteTable::join(held, &whole.parts), &document, 600);
                }
            }
            let old = manifest.clone();
            let keys: Vec<Name> = document.routes.keys().cloned().collect();
            let changed = keys.choose(&mut rng).expect("there are routes");
            document.routes.get_mut(changed).expect("it is there").max_attempts += 1;
            (manifest, pieces) = cut(revision, &document);
            assert!(assembly.offer(manifest.clone()), "case {case}");
            assert!(!assembly.offer(old), "case {case}: an older one came late");
        }
        for id in assembly.missing() {
            fetched += 1;
            assembly.add_piece(&pieces[&id]).expect("it is whole");
        }
        let whole = assembly.take_complete().expect("nothing lacks");
        assert_eq!(whole.manifest.revision, Revision(39), "case {case}");
        check(&RouteTable::join(39, &whole.parts), &document, 600);
        assert!(fetched <= all + 38, "case {case}: {fetched} pieces for {all} and 38 changes");
    }
}
