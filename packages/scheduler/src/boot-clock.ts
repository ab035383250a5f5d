import os from 'node:os';
import process from 'node:process';

/**
Reads the time since the boot of the machine in milliseconds. On Linux it includes suspensions, and steps of the wall clock do not change it. Its resolution is 10 ms, and a reading takes several microseconds. `undefined` on other systems, where it may count whole seconds.

@example
```ts
const now = createSuspendClock({bootClock: BOOT_CLOCK});
```
*/
export const BOOT_CLOCK: (() => number) | undefined =
	process.platform === 'linux' ? () => os.uptime() * 1000 : undefined;
