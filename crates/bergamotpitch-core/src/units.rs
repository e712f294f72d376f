//! Units of service and time.

use std::time::Duration;

/// `Timestamp` is the monotonic time since the process started.
pub type Timestamp = Duration;

/// `CostUnits` counts service: tokens weighted by the service's cost, or calls of a plain service.
pub type CostUnits = u64;

/// `Bytes` counts bytes.
pub type ByteCount = u64;

/// `VirtualService` is service divided by a team's share; the order of dispatch is by this number.
pub type VirtualService = f64;
