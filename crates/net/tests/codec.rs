//! Guards against ids that lose digits in MessagePack or JSON. An id has 128
//! bits, which is more than a JSON number can hold.

use vg_base::JobId;
use vg_net::{from_msgpack, to_msgpack};

#[test]
fn ids_of_128_bits_round_trip_in_messagepack_and_json() {
    for value in [0, 1, u128::from(u64::MAX) + 1, u128::MAX] {
        let id = JobId::new(value);
        let packed = to_msgpack(&id).unwrap();
        assert_eq!(from_msgpack::<JobId>(&packed).unwrap(), id);
        let text = serde_json::to_string(&id).unwrap();
        assert_eq!(text, format!("\"{value:032x}\""));
        assert_eq!(serde_json::from_str::<JobId>(&text).unwrap(), id);
    }
}
