use super::*;

const DRAWS: u32 = 10_000;

fn weighted<T>(item: T, weight: f64) -> Weighted<T> {
    Weighted { item, weight }
}

#[test]
fn the_same_seed_gives_the_same_sequence() {
    let mut first = Rng::new(7);
    let mut second = Rng::new(7);
    for _ in 0..100 {
        assert_eq!(first.unit(), second.unit());
    }
    assert_ne!(Rng::new(7).unit(), Rng::new(8).unit());
}

#[test]
fn numbers_are_uniform_from_0_to_1() {
    let mut rng = Rng::new(1);
    let mut sum = 0.0;
    for _ in 0..DRAWS {
        let number = rng.unit();
        assert!((0.0..1.0).contains(&number), "{number}");
        sum += number;
    }
    let mean = sum / f64::from(DRAWS);
    assert!((mean - 0.5).abs() < 0.02, "{mean}");
}

#[test]
fn items_are_drawn_in_proportion_to_their_weights() {
    let mut rng = Rng::new(2);
    let items = [
        weighted("rare", 1.0),
        weighted("never", 0.0),
        weighted("often", 3.0),
    ];
    let mut rare = 0;
    for _ in 0..DRAWS {
        let item = rng.pick_weighted(&items).expect("an item");
        assert_ne!(item, "never");
        rare += u32::from(item == "rare");
    }
    let fraction = f64::from(rare) / f64::from(DRAWS);
    assert!((fraction - 0.25).abs() < 0.02, "{fraction}");
}

#[test]
fn the_last_item_is_drawn_if_all_weights_are_zero() {
    let mut rng = Rng::new(3);
    assert_eq!(
        rng.pick_weighted(&[weighted("first", 0.0), weighted("last", 0.0)]),
        Some("last")
    );
    assert_eq!(rng.pick_weighted::<u32>(&[]), None);
}

#[test]
fn each_draw_takes_one_number_even_without_items() {
    let mut drawing = Rng::new(4);
    let mut reference = Rng::new(4);
    drawing.pick_weighted::<u32>(&[]);
    drawing.pick_weighted(&[weighted(1, 1.0), weighted(2, 1.0)]);
    reference.unit();
    reference.unit();
    assert_eq!(drawing.unit(), reference.unit());
}
