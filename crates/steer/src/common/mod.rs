//! Shared by both roles: traffic splits over regions, the limiter that moves them, round robin, the framing and the
//! progress of responses, the progress of sending and of response bodies, surplus bytes, acknowledgements, silence of peers, and
//! what a planned stop goes by: its grace time, response times, and how late the process handles what happens.

pub mod acknowledgement;
pub mod body_progress;
pub mod framing;
pub mod grace;
pub mod peer_silence;
pub mod ramp;
pub mod response_progress;
pub mod response_times;
pub mod responsiveness;
pub mod round_robin;
pub mod send_progress;
pub mod split;
pub mod surplus;
