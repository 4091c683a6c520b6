//! Settings whose pieces arrive out of order, damaged, or after a newer revision.

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use sill_base::random::{cases, seed};
use sill_base::{CompressedText, Map, Millis, Name};
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
    let parts = pieces::split(document).into_iter();
    let pieces = parts.map(|part| Piece::new(DocumentText::of(&part).as_str()));
    let pieces: Vec<Piece> = pieces.collect();
    let ids = pieces.iter().map(|piece| piece.id.clone()).collect();
    let manifest = Manifest { revision: Revision(revision), cut_at: Millis::ZERO, pieces: ids };
    (manifest, pieces.into_iter().map(|piece| (piece.id.clone(), piece)).collect())
}

/// Checks that the table contains every route of the document.
fn check(table: &RouteTable, document: &Document, routes: usize) {
    for i in 0..routes {
        let found = table.find(&format!("h{}", i % 3), &format!("/p{i}/x"));
        assert_eq!(found.map(|entry| &entry.route), document.routes.get(&name(i)), "route {i}");
    }
}

#[test]
fn only_a_corrupt_piece_is_fetched_again() {
    // Bits flip in transit, or a control instance returns another piece than was requested. If it
    // were accepted, calls would follow settings that nobody wrote; if all pieces were dropped, a
    // restarted instance would refuse calls until it has fetched everything again.
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
    assembly.add_piece(&pieces[&missing[3]]).expect("the piece is intact");
    let complete = assembly.take_complete().expect("all pieces were added");
    check(&RouteTable::join(1, &complete.parts), &document, 700);
}

#[test]
fn an_unreadable_revision_is_abandoned_until_a_newer_one() {
    // A newer control instance sends a field that this program does not know. The settings in force
    // stay, and the instance must not request the same piece forever.
    let text = "{\"field_of_tomorrow\":1}";
    let piece = Piece::new(text);
    let manifest = |revision| Manifest {
        revision: Revision(revision),
        cut_at: Millis::ZERO,
        pieces: vec![piece.id.clone()],
    };
    let mut assembly = SettingsAssembly::default();
    assert!(assembly.offer(manifest(5)));
    let fault = assembly.add_piece(&piece).expect_err("the field is unknown");
    assert!(matches!(fault, PieceError::Unreadable(_)), "{fault}");
    assembly.abandon_wanted();
    assert!(assembly.missing().is_empty() && assembly.take_complete().is_none());
    assert!(!assembly.offer(manifest(5)), "an abandoned revision was accepted again");
    assert!(assembly.offer(manifest(6)));
}

#[test]
fn pieces_of_superseded_revisions_do_not_accumulate() {
    // A reader that is cut off before the last piece of each large change must not run out of
    // memory.
    const ROUTES: usize = 700;
    let mut document = document(ROUTES);
    let (manifest, pieces) = cut(1, &document);
    let in_force = pieces.len();
    let mut assembly = SettingsAssembly::default();
    assembly.offer(manifest);
    pieces.values().for_each(|piece| assembly.add_piece(piece).expect("the piece is intact"));
    assembly.take_complete().expect("all pieces were added");
    for revision in 2..60 {
        document.routes.values_mut().for_each(|route| route.max_attempts += 1);
        let (manifest, pieces) = cut(revision, &document);
        let wanted = manifest.pieces.len();
        assembly.offer(manifest);
        for id in assembly.missing().iter().skip(1) {
            assembly.add_piece(&pieces[id]).expect("the piece is intact");
        }
        assert!(assembly.take_complete().is_none());
        let bound = in_force + wanted;
        assert!(assembly.len() <= bound, "{} pieces held, {bound} at most", assembly.len());
    }
    assert!(!assembly.is_empty(), "the pieces of the revision in force were dropped");
}

#[test]
fn random_changes_end_in_the_newest_revision_and_fetch_only_what_changed() {
    // Changes follow quickly while pieces arrive late, twice, damaged or not at all. Routes of an
    // older revision must never return, and unchanged pieces must not be fetched again.
    for case in 0..cases(60) {
        let mut rng = SmallRng::seed_from_u64(seed(1) + u64::from(case));
        let mut assembly = SettingsAssembly::default();
        let mut document = document(600);
        let (mut newest, mut fetched) = (0, 0);
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
                        1 => Piece { id: id.clone(), text: CompressedText::new("{}") },
                        _ => pieces[id].clone(),
                    };
                    fetched += usize::from(assembly.add_piece(&piece).is_ok());
                }
                if let Some(complete) = assembly.take_complete() {
                    assert!(
                        complete.manifest.revision.0 > newest,
                        "case {case}: an older revision was completed"
                    );
                    newest = complete.manifest.revision.0;
                    check(&RouteTable::join(newest, &complete.parts), &document, 600);
                }
            }
            let old = manifest.clone();
            let keys: Vec<Name> = document.routes.keys().cloned().collect();
            let changed = keys.choose(&mut rng).expect("the document has routes");
            document.routes.get_mut(changed).expect("the route exists").max_attempts += 1;
            (manifest, pieces) = cut(revision, &document);
            assert!(assembly.offer(manifest.clone()), "case {case}");
            assert!(!assembly.offer(old), "case {case}: an older revision was accepted");
        }
        for id in assembly.missing() {
            fetched += 1;
            assembly.add_piece(&pieces[&id]).expect("the piece is intact");
        }
        let complete = assembly.take_complete().expect("all pieces were added");
        assert_eq!(complete.manifest.revision, Revision(39), "case {case}");
        check(&RouteTable::join(39, &complete.parts), &document, 600);
        assert!(
            fetched <= all + 38,
            "case {case}: {fetched} pieces fetched for {all} and 38 changes"
        );
    }
}
