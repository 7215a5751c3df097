//! "Not run" is said only when it is true.

use engine::Outcome;
use kernel::Millis;

#[test]
fn after_lost_owner() {
    let refused = Outcome::Refused { retry: Millis(10) };
    // The first owner may have started tasks, so the second's refusal is not
    // the whole truth.
    assert_eq!(refused.after(Some(Outcome::Lost)), Outcome::Lost);
    assert_eq!(refused.after(None), refused);
    assert_eq!(
        Outcome::Completed.after(Some(Outcome::Lost)),
        Outcome::Completed
    );
}
