//! A job is reported as "not run" only if none of its tasks can have started.

use engine::Outcome;
use kernel::Millis;

#[test]
fn after_lost_owner() {
    let refused = Outcome::Refused { retry: Millis(10) };
    // The first owner may have started tasks, so the refusal by the second does
    // not mean that the job has not run.
    assert_eq!(refused.after(Some(Outcome::Lost)), Outcome::Lost);
    assert_eq!(refused.after(None), refused);
    assert_eq!(
        Outcome::Completed.after(Some(Outcome::Lost)),
        Outcome::Completed
    );
}
