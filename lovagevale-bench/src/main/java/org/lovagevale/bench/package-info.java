/**
 * Benchmarks of entry processes against stand-ins of the platform and of backend servers.
 */
@NullMarked
package org.lovagevale.bench;

import org.jspecify.annotations.NullMarked;
