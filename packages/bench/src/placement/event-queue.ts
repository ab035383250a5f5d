export type TimedEntry = Readonly<{atMs: number; sequence: number}>;

const isBefore = (a: TimedEntry, b: TimedEntry): boolean =>
	a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);

/** A binary min-heap of events, ordered by time and then by insertion. */
export type EventQueue<Event> = Readonly<{
	push: (atMs: number, event: Event) => void;
	pop: () => (TimedEntry & Readonly<{event: Event}>) | undefined;
}>;

export const createEventQueue = <Event>(): EventQueue<Event> => {
	const heap: Array<TimedEntry & Readonly<{event: Event}>> = [];
	let sequence = 0;
	const swap = (a: number, b: number) => {
		const entry = heap[a]!;
		heap[a] = heap[b]!;
		heap[b] = entry;
	};

	return {
		push(atMs, event) {
			sequence += 1;
			heap.push({atMs, sequence, event});
			let child = heap.length - 1;
			while (child > 0) {
				const parent = Math.floor((child - 1) / 2);
				if (isBefore(heap[parent]!, heap[child]!)) {
					return;
				}

				swap(parent, child);
				child = parent;
			}
		},
		pop() {
			const first = heap[0];
			const last = heap.pop();
			if (!first || !last || heap.length === 0) {
				return first;
			}

			heap[0] = last;
			let parent = 0;
			for (;;) {
				const left = 2 * parent + 1;
				const right = left + 1;
				let smallest = parent;
				if (left < heap.length && isBefore(heap[left]!, heap[smallest]!)) {
					smallest = left;
				}

				if (right < heap.length && isBefore(heap[right]!, heap[smallest]!)) {
					smallest = right;
				}

				if (smallest === parent) {
					return first;
				}

				swap(parent, smallest);
				parent = smallest;
			}
		},
	};
};
