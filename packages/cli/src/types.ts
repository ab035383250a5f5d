/** Options of commands that talk to an instance. */
export type ConnectionOptions = Readonly<{
	url: string;
	token: string;
	json?: boolean;
}>;
