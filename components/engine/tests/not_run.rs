//! "Not run" is said only when it is true.

use engine::Answer;
use kernel::Millis;

#[test]
fn after_lost_owner() {
    let refused = Answer::Refused { retry: Millis(10) };
    // The first owner may have started tasks, so the second's refusal is not
    // the whole truth.
    assert_eq!(refused.after(Some(Answer::Lost)), Answer::Lost);
    assert_eq!(refused.after(None), refused);
    assert_eq!(
        Answer::Completed.after(Some(Answer::Lost)),
        Answer::Completed
    );
}
