use std::rc::Rc;

use rosemarybank_coordination::claim;
use rosemarybank_protocol::{action::ActionOutcome, platform::Claim};
use tokio::time::timeout_at;

use super::{claims::path_of, shared::Shared};
use crate::message::{ControlToFront, LookupRequest, StoreUnreachable};

/// Reads the state of an action for its caller.
pub(super) async fn look_up(shared: Rc<Shared>, request: LookupRequest) {
    let deadline = shared.clock.instant_at(request.deadline).into();
    let path = path_of(&request.caller, &request.key);
    let reading = timeout_at(deadline, read(&shared, &path)).await;
    let outcome = reading.unwrap_or(Err(StoreUnreachable));
    shared.front.send(ControlToFront::LookupFinished { id: request.id, outcome });
}

async fn read(shared: &Shared, path: &str) -> Result<Option<ActionOutcome>, StoreUnreachable> {
    let object = shared.platform.get(path).await.map_err(|_| StoreUnreachable)?;
    let Some(object) = object else { return Ok(None) };
    let claim: Claim = serde_json::from_slice(&object.value).map_err(|_| StoreUnreachable)?;
    Ok(Some(claim::claim_outcome(&claim)))
}
