//! The responses of data nodes: their values, and the forms in which frames arrive that are cut off by their length or
//! followed by bytes that do not belong to them.

use serde::{Deserialize, Serialize};

/// Number of repetitions in a long value, which a router receives by several reads.
const LONG_VALUE_REPETITIONS: usize = 1500;
/// Queries whose id ends with this get long values.
const LONG_VALUE_SUFFIX: &str = "77";
/// Bytes that a value cannot contain.
const NOISE: &[u8] = b"\r\nnoise";

/// The form of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseForm {
    /// A frame with the stated length.
    Valid,
    /// The stated length is too small; the rest of the value follows.
    CutOff,
    /// Like [`ResponseForm::CutOff`], followed by the valid response.
    CutOffBeforeCopy,
    /// Like [`ResponseForm::CutOff`], followed by a response to another query.
    CutOffBeforeOther,
    /// The response is sent twice.
    Repeated,
    /// The response is followed by bytes that are neither a frame nor part of a value.
    BeforeNoise,
}

/// The forms other than [`ResponseForm::Valid`].
const ALTERED_FORMS: [ResponseForm; 5] = [
    ResponseForm::CutOff,
    ResponseForm::CutOffBeforeCopy,
    ResponseForm::CutOffBeforeOther,
    ResponseForm::Repeated,
    ResponseForm::BeforeNoise,
];

impl ResponseForm {
    /// Draws the form of a response. `altered_percent` is the percentage of the forms other than
    /// [`ResponseForm::Valid`].
    pub fn draw(altered_percent: u32) -> ResponseForm {
        if fastrand::u32(..100) < altered_percent {
            ALTERED_FORMS[fastrand::usize(..ALTERED_FORMS.len())]
        } else {
            ResponseForm::Valid
        }
    }

    /// Returns whether the response is cut off by its length.
    pub fn is_cut_off(self) -> bool {
        matches!(
            self,
            ResponseForm::CutOff | ResponseForm::CutOffBeforeCopy | ResponseForm::CutOffBeforeOther
        )
    }

    /// Encodes the response with this value to the shard request with this id.
    pub fn encode(self, id: &str, value: &str) -> Vec<u8> {
        let payload = format!("{id} OK 1 -\n{value}");
        let valid = frame(b'Y', &payload);
        let cut_off = || {
            let missing = [1, value.len() / 2, value.len()][fastrand::usize(..3)].max(1);
            let mut bytes = valid.clone();
            let length = (payload.len() + 1 - missing) as u32;
            bytes[..4].copy_from_slice(&length.to_be_bytes());
            bytes
        };
        match self {
            ResponseForm::Valid => valid,
            ResponseForm::CutOff => cut_off(),
            ResponseForm::CutOffBeforeCopy => [cut_off(), valid].concat(),
            ResponseForm::CutOffBeforeOther => [cut_off(), frame(b'Y', "other.0 OK 1 -\nvalue")].concat(),
            ResponseForm::Repeated => valid.repeat(2),
            ResponseForm::BeforeNoise => [&valid, NOISE].concat(),
        }
    }
}

/// Returns the value that data nodes return for a shard of a query.
pub fn value_of(shard: &str, query: &str) -> String {
    let value = format!("{shard}/{query}");
    if query.ends_with(LONG_VALUE_SUFFIX) { value.repeat(LONG_VALUE_REPETITIONS) } else { value }
}

/// Encodes a frame.
pub fn frame(frame_type: u8, payload: &str) -> Vec<u8> {
    let length = (payload.len() as u32 + 1).to_be_bytes();
    [&length[..], &[frame_type], payload.as_bytes()].concat()
}
