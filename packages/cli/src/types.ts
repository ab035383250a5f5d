/** Options of commands that talk to an instance. */
export type ConnectionOptions = Readonly<{
	url: string;
	token?: string;
	json?: boolean;
}>;

/** Options of commands that may wait until their change has taken effect. */
export type WaitOptions = Readonly<{wait?: boolean; waitSeconds: number}>;
