/** Issues and verifies the keys that callers and operators present. */
package org.hickorypier.core.keys;
