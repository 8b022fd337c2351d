use std::rc::Rc;

use rosemarybank_coordination::claim;
use rosemarybank_protocol::{action::ActionOutcome, platform::Claim};
use tokio::time::timeout_at;

use super::{claim_store::claim_path, shared::Shared};
use crate::message::{ControlToFront, LookupRequest, StoreUnreachable};

/// Reads the outcome of an action from its claim and sends it to `front`.
pub(super) async fn look_up(shared: Rc<Shared>, request: LookupRequest) {
    let deadline = shared.clock.instant_at(request.deadline).into();
    let path = claim_path(&request.caller, &request.key);
    let result = timeout_at(deadline, read_outcome(&shared, &path)).await;
    let outcome = result.unwrap_or(Err(StoreUnreachable));
    shared.front.send(ControlToFront::LookupFinished { id: request.id, outcome });
}

/// Returns the outcome that the claim records; `None` when there is no claim. A claim that cannot be
/// parsed is reported like an unreachable store.
async fn read_outcome(
    shared: &Shared,
    path: &str,
) -> Result<Option<ActionOutcome>, StoreUnreachable> {
    let object = shared.platform.get(path).await.map_err(|_| StoreUnreachable)?;
    let Some(object) = object else { return Ok(None) };
    let claim: Claim = serde_json::from_slice(&object.value).map_err(|_| StoreUnreachable)?;
    Ok(Some(claim::claim_outcome(&claim)))
}
