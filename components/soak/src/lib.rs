//! Random faults on real VM processes.
